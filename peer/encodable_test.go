package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// fill sets every field of the message, and of the messages in it, to a valid value.
func fill(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		var value protoreflect.Value
		switch {
		case f.Kind() == protoreflect.StringKind:
			value = protoreflect.ValueOfString("text")
		case f.Message() != nil && depth > 0:
			if f.IsList() {
				list := m.Mutable(f).List()
				fill(list.AppendMutable().Message(), depth-1)
				fill(list.AppendMutable().Message(), depth-1)
			} else {
				fill(m.Mutable(f).Message(), depth-1)
			}
			continue
		default:
			continue
		}
		if f.IsList() {
			m.Mutable(f).List().Append(value)
			continue
		}
		m.Set(f, value)
	}
}

// poisonEach calls check with a copy of m for each of its string fields, in which just that field is
// not valid UTF-8.
func poisonEach(root proto.Message, check func(poisoned proto.Message)) {
	const invalid = "i-\xff"
	var visit func(m protoreflect.Message)
	visit = func(m protoreflect.Message) {
		m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
			switch {
			case f.Kind() == protoreflect.StringKind && f.IsList():
				list := v.List()
				for i := range list.Len() {
					old := list.Get(i)
					list.Set(i, protoreflect.ValueOfString(invalid))
					check(proto.Clone(root))
					list.Set(i, old)
				}
			case f.Kind() == protoreflect.StringKind:
				m.Set(f, protoreflect.ValueOfString(invalid))
				check(proto.Clone(root))
				m.Set(f, v)
			case f.Message() != nil && f.IsList():
				for i := range v.List().Len() {
					visit(v.List().Get(i).Message())
				}
			case f.Message() != nil:
				visit(v.Message())
			}
			return true
		})
	}
	visit(root.ProtoReflect())
}

// TestEveryTextFieldIsFound makes each string field of each message of the protocol invalid, one at a
// time: it must be found, and what is left must be encodable.
func TestEveryTextFieldIsFound(t *testing.T) {
	messages := File_peer_proto.Messages()
	checked := 0
	for i := range messages.Len() {
		d := messages.Get(i)
		root := newMessage(t, d.Name())
		fill(root.ProtoReflect(), 4)
		_, err := proto.Marshal(root)
		require.NoError(t, err)
		unchanged, paths := Encodable(root)
		require.Same(t, root, unchanged)
		require.Empty(t, paths)
		poisonEach(root, func(poisoned proto.Message) {
			checked++
			before := proto.Clone(poisoned)
			_, err := proto.Marshal(poisoned)
			require.Error(t, err)
			repaired, paths := Encodable(poisoned)
			require.Len(t, paths, 1, "%s", d.Name())
			_, err = proto.Marshal(repaired)
			require.NoError(t, err, "%s %v", d.Name(), paths)
			require.Empty(t, Unencodable(repaired))
			require.Equal(t, Unencodable(before), Unencodable(poisoned), "the message itself is not changed")
		})
	}
	require.Greater(t, checked, 200)
}

func newMessage(t *testing.T, name protoreflect.Name) proto.Message {
	for i := range file_peer_proto_msgTypes {
		if file_peer_proto_msgTypes[i].Desc.Name() == name {
			return file_peer_proto_msgTypes[i].New().Interface()
		}
	}
	t.Fatalf("no message type %s", name)
	return nil
}

// TestOneRowCostsOnlyItself has one row of three that cannot be encoded.
func TestOneRowCostsOnlyItself(t *testing.T) {
	response := &WatchResponse{Server: "s1", Version: 7, Rows: []*TargetRow{{Id: "a"}, {Id: "i-\xff", Service: "\xfe"}, {Id: "b"}}}
	repaired, paths := Encodable(response)
	require.Equal(t, []string{"rows[1].id", "rows[1].service"}, paths)
	require.Len(t, response.Rows, 3)
	rows := repaired.(*WatchResponse).Rows
	require.Len(t, rows, 2)
	require.Equal(t, []string{"a", "b"}, []string{rows[0].Id, rows[1].Id})
	require.EqualValues(t, 7, repaired.(*WatchResponse).Version)
}

func BenchmarkUnencodable(b *testing.B) {
	response := &WatchResponse{Server: "s1"}
	for range 620 {
		response.Rows = append(response.Rows, &TargetRow{Id: "i-7f3a91c2", Service: "huvo11a", Address: "10.128.0.9:8080", Domain: "z1", SoftwareVersion: "v1", BornMs: 1})
	}
	for b.Loop() {
		if len(Unencodable(response)) > 0 {
			b.Fatal("valid text was found invalid")
		}
	}
}

func BenchmarkMarshalAll(b *testing.B) {
	response := &WatchResponse{Server: "s1"}
	for range 620 {
		response.Rows = append(response.Rows, &TargetRow{Id: "i-7f3a91c2", Service: "huvo11a", Address: "10.128.0.9:8080", Domain: "z1", SoftwareVersion: "v1", BornMs: 1})
	}
	for b.Loop() {
		if _, err := proto.Marshal(response); err != nil {
			b.Fatal(err)
		}
	}
}
