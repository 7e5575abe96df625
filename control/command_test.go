package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"auburnscale/peer"
)

// commands returns a command with an empty body of each type.
func commands() (list []*peer.Command) {
	bodies := (&peer.Command{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	for i := range bodies.Len() {
		c := &peer.Command{}
		c.ProtoReflect().Mutable(bodies.Get(i))
		list = append(list, c)
	}
	return list
}

// Guards against a committed command that ends every control instance, again at each start.
func TestEmptyCommandsAreApplied(t *testing.T) {
	for _, first := range commands() {
		for _, second := range commands() {
			f := newFixture()
			require.NotPanics(t, func() {
				f.apply(proto.Clone(first).(*peer.Command))
				f.apply(second)
				f.machine.Restore(f.machine.Snapshot())
				f.apply(proto.Clone(first).(*peer.Command))
			}, "%s, then %s", bodyName(first), bodyName(second))
		}
	}
}

func bodyName(c *peer.Command) protoreflect.Name {
	m := c.ProtoReflect()
	return m.WhichOneof(m.Descriptor().Oneofs().ByName("body")).Name()
}

// Guards against a document of version 0 in the log that keeps the group from any configuration.
func TestVersionZeroIsNotPutInEffect(t *testing.T) {
	f := newFixture()
	replace := func(version uint64) *peer.Result {
		return f.apply(&peer.Command{Body: &peer.Command_Replace{Replace: &peer.ReplaceDocument{Version: version, Body: []byte("{}")}}})
	}
	require.Equal(t, peer.Result_REFUSED, replace(0).Code)
	require.Nil(t, f.machine.Document())
	require.Equal(t, peer.Result_OK, replace(7).Code)
	require.EqualValues(t, 7, replace(0).Version)
	require.EqualValues(t, 7, f.machine.Document().GetVersion())
}
