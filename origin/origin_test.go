package origin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"auburnscale/peer"
)

// A testClock is a clock that a test sets.
type testClock struct{ at time.Duration }

func (c *testClock) now() time.Duration { return c.at }

var (
	old    = Origin{"lm", Software("v1", "", 0)}
	newer  = Origin{"lm", Software("v2", "", 0)}
	others = Origin{"other", Software("v1", "", 0)}
)

// deliver brings the journal's report to the index.
func deliver(j *Journal, x *Index) {
	x.Report(j.Report(false))
	j.Delivered()
}

// TestSoftwareWithoutVersionIsOfOneStart checks that targets without a known version never have
// the same software, not even two starts of one.
func TestSoftwareWithoutVersionIsOfOneStart(t *testing.T) {
	require.Equal(t, Software("v1", "a", 1), Software("v1", "b", 2))
	require.NotEqual(t, Software("", "a", 1), Software("", "a", 2))
	require.NotEqual(t, Software("", "a", 1), Software("", "b", 1))
	require.NotEqual(t, Software("start 1 of a", "b", 1), Software("", "a", 1), "a version cannot pass for a start")
}

// TestReportIsSentOnceAndAgainAfterFailure checks that a record is reported until it is delivered,
// and again to a control instance that has none.
func TestReportIsSentOnceAndAgainAfterFailure(t *testing.T) {
	j := NewJournal((&testClock{}).now)
	j.Open(7).Sent(old, "a", 1)
	require.Len(t, j.Report(false), 1)
	j.Failed()
	want := []*peer.StreamOrigins{{Service: "lm", Software: old.Software, Requests: []uint64{7}}}
	require.Equal(t, want, j.Report(false))
	j.Delivered()
	require.Empty(t, j.Report(false))
	j.Delivered()
	require.Equal(t, want, j.Report(true))
}

// TestOpenStreamsAreReportedAgain checks that the record of a stream that lasts longer than control
// instances keep records is not lost.
func TestOpenStreamsAreReportedAgain(t *testing.T) {
	c := &testClock{}
	j, x := NewJournal(c.now), NewIndex(c.now)
	s := j.Open(7)
	s.Sent(old, "a", 1)
	for range 40 {
		deliver(j, x)
		c.at += renewInterval/2 + time.Second
		x.Copy([]*peer.StreamOrigins{{Service: "lm", Software: "other", Requests: []uint64{uint64(c.at)}}})
	}
	_, found := x.Find(7)
	require.True(t, found)
	s.Close()
	for range 8 {
		deliver(j, x)
		c.at += generationTime
		x.Copy([]*peer.StreamOrigins{{Service: "lm", Software: "other", Requests: []uint64{uint64(c.at)}}})
		j.Open(8).Close()
	}
	_, found = x.Find(7)
	require.False(t, found, "records of ended streams are forgotten")
	_, found = j.Find(7)
	require.False(t, found)
}

// TestRequestSentElsewhereBeforeAReportLeavesNoTrace checks that a request that goes to another
// version before its first report is recorded with that alone.
func TestRequestSentElsewhereBeforeAReportLeavesNoTrace(t *testing.T) {
	j, x := NewJournal((&testClock{}).now), NewIndex((&testClock{}).now)
	s := j.Open(7)
	s.Sent(old, "a", 1)
	s.Sent(newer, "b", 1)
	deliver(j, x)
	o, found := x.Find(7)
	require.True(t, found)
	require.Equal(t, newer, o)
}

// TestReportedRequestStaysAtItsVersion checks that a request whose origin may have reached a control
// instance is not sent to another version, whether the report arrived or not.
func TestReportedRequestStaysAtItsVersion(t *testing.T) {
	for name, end := range map[string]func(*Journal){"under way": func(*Journal) {}, "delivered": (*Journal).Delivered, "failed": (*Journal).Failed} {
		j := NewJournal((&testClock{}).now)
		s := j.Open(7)
		require.True(t, s.Sent(old, "a", 1), name)
		_, bound := s.Bound()
		require.False(t, bound, name)
		j.Report(false)
		end(j)
		require.False(t, s.Sent(newer, "b", 1), name)
		require.True(t, s.Sent(old, "c", 1), name)
		o, bound := s.Bound()
		require.True(t, bound, name)
		require.Equal(t, old, o, name)
	}
}

// TestRepeatedIDsAreDisputed checks that an id that two requests use, at one instance or at two,
// with different versions, names no origin.
func TestRepeatedIDsAreDisputed(t *testing.T) {
	j, x := NewJournal((&testClock{}).now), NewIndex((&testClock{}).now)
	j.Open(7).Sent(old, "a", 1)
	deliver(j, x)
	j.Open(7).Sent(newer, "b", 1)
	o, found := j.Find(7)
	require.True(t, found)
	require.Equal(t, disputed, o)
	deliver(j, x)
	o, found = x.Find(7)
	require.True(t, found)
	require.Equal(t, disputed, o)

	other := NewJournal((&testClock{}).now)
	j.Open(8).Sent(old, "a", 1)
	other.Open(8).Sent(newer, "b", 1)
	deliver(j, x)
	deliver(other, x)
	o, _ = x.Find(8)
	require.Equal(t, disputed, o)
	x.Report([]*peer.StreamOrigins{{Service: "lm", Software: old.Software, Requests: []uint64{8}}})
	o, _ = x.Find(8)
	require.Equal(t, disputed, o, "a dispute does not end")
}

// TestLaterStartDisputesStreams checks that a stream that was sent to a target after it had started
// again with other software, as it turns out, has no certain origin, even if it has ended.
func TestLaterStartDisputesStreams(t *testing.T) {
	c := &testClock{}
	j := NewJournal(c.now)
	before, open, ended := j.Open(7), j.Open(8), j.Open(9)
	before.Sent(old, "a", 1)
	c.at += 3 * time.Second
	open.Sent(old, "a", 1)
	ended.Sent(old, "a", 1)
	ended.Close()
	j.Open(10).Sent(old, "b", 1)
	c.at += time.Second
	j.StartChanged("a", 2, 2*time.Second)
	for hash, want := range map[uint64]Origin{7: old, 8: disputed, 9: disputed, 10: old} {
		o, _ := j.Find(hash)
		require.Equal(t, want, o, hash)
	}
}

// TestIndexIsBounded checks that the index and its list of records to copy do not grow without
// bound.
func TestIndexIsBounded(t *testing.T) {
	x := NewIndex((&testClock{}).now)
	group := &peer.StreamOrigins{Service: "lm", Software: old.Software}
	for hash := range uint64(3 * maxGeneration) {
		group.Requests = append(group.Requests, hash+1)
	}
	x.Report([]*peer.StreamOrigins{group})
	require.LessOrEqual(t, x.Len(), 2*maxGeneration)
	_, position := x.Uncopied()
	require.LessOrEqual(t, position, maxUncopied)
	x.Copied(position)
	_, position = x.Uncopied()
	require.Zero(t, position)
}

// TestAnswerIsBounded checks that an answer stays small when many versions serve, and still tells
// that several do.
func TestAnswerIsBounded(t *testing.T) {
	var many []Seen
	for i := range 1000 {
		many = append(many, Seen{Origin{"lm", Software(fmt.Sprint("v", i), "", 0)}, time.Duration(1000-i) * time.Second})
	}
	answer := Answer(NewIndex((&testClock{}).now), fixedHistory(many), &peer.OriginQuestion{Request: 1, Services: []string{"lm"}})
	require.Len(t, answer.History, maxHistory)
	require.Equal(t, Several, Decide(Evidence{}, []Evidence{decodeAnswer(answer)}, true, 30*time.Second).Reason())
}

// fixedHistory is a history that does not change.
type fixedHistory []Seen

func (h fixedHistory) SoftwareSeen(string) ([]Seen, time.Duration) { return h, time.Hour }

// A refusingDialer reaches control instances of a release that does not know the call.
type refusingDialer struct{}

func (refusingDialer) Peer(string) peer.Peer { return refusingPeer{} }

type refusingPeer struct{ peer.Peer }

func (refusingPeer) FindOrigin(context.Context, *peer.OriginQuestion) (*peer.OriginAnswer, error) {
	return nil, twirp.NewError(twirp.BadRoute, "no such call")
}

// TestControlInstancesOfAnEarlierRelease checks that an instance decides by what it knows itself if
// control instances do not know the call.
func TestControlInstancesOfAnEarlierRelease(t *testing.T) {
	j := NewJournal((&testClock{}).now)
	j.Open(7).Sent(newer, "a", 1)
	one, both := fixedHistory{{old, 0}}, fixedHistory{{old, 0}, {newer, 0}}
	for name, c := range map[string]struct {
		history fixedHistory
		hash    uint64
		reason  Reason
	}{"own record": {both, 7, Recorded}, "one version": {one, 8, Single}, "two versions": {both, 8, Several}} {
		f := NewFinder(j, c.history, func() []string { return []string{"c1", "c2"} }, refusingDialer{})
		d := f.Find(context.Background(), c.hash, []string{"lm"}, 30*time.Second)
		require.Equal(t, c.reason, d.Reason(), name)
		require.False(t, d.Conclusive(), name)
	}
}

// TestDecide checks what may continue a stream, by what instances know.
func TestDecide(t *testing.T) {
	const span = 30 * time.Second
	serves := func(covered time.Duration, seen ...Seen) Evidence { return Evidence{History: seen, Covered: covered} }
	has := func(o ...Origin) Evidence { return Evidence{Origins: o} }
	both := []Seen{{old, 0}, {newer, 0}}
	for name, c := range map[string]struct {
		evidence []Evidence
		origin   Origin
		reason   Reason
	}{
		"on record":                          {[]Evidence{has(), has(old), serves(span, both...)}, old, Recorded},
		"on two records":                     {[]Evidence{has(old), has(old)}, old, Recorded},
		"records differ":                     {[]Evidence{has(old), has(newer)}, Origin{}, Disputed},
		"a record is disputed":               {[]Evidence{has(old), has(disputed)}, Origin{}, Disputed},
		"one version ever":                   {[]Evidence{serves(span, Seen{old, 0}), serves(0, Seen{old, 0})}, old, Single},
		"the other served long ago":          {[]Evidence{serves(2*span, Seen{old, span + 1}, Seen{newer, 0})}, newer, Single},
		"the other has just left":            {[]Evidence{serves(2*span, Seen{old, time.Second}, Seen{newer, 0})}, Origin{}, Several},
		"only one instance saw the other":    {[]Evidence{serves(2*span, Seen{newer, 0}), serves(span, both...)}, Origin{}, Several},
		"two services, one version each":     {[]Evidence{serves(span, Seen{old, 0}, Seen{others, 0})}, Origin{}, Several},
		"not known for long enough":          {[]Evidence{serves(span-1, Seen{old, 0}), serves(1, Seen{old, 0})}, Origin{}, NotCovered},
		"nothing is known":                   {nil, Origin{}, NotCovered},
		"nothing serves":                     {[]Evidence{serves(span)}, Origin{}, NotCovered},
		"a record of a version that is gone": {[]Evidence{has(old), serves(span, Seen{newer, 0})}, old, Recorded},
	} {
		d := Decide(Evidence{}, c.evidence, true, span)
		o, known := d.Origin()
		require.Equal(t, c.origin, o, name)
		require.Equal(t, c.origin != Origin{}, known, name)
		require.Equal(t, c.reason, d.Reason(), name)
	}
	// What this instance knows itself.
	one := serves(2*span, Seen{old, 0})
	for name, c := range map[string]struct {
		answers  []Evidence
		complete bool
		reason   Reason
	}{
		"no control instance knows the call":   {nil, true, Single},
		"no control instance answers":          {nil, false, NotCovered},
		"one does not answer":                  {[]Evidence{one, one}, false, NotCovered},
		"all answer":                           {[]Evidence{one, serves(0)}, true, Single},
		"all answer, and have just started":    {[]Evidence{serves(1, Seen{old, 0}), serves(0)}, true, NotCovered},
		"one answers, and has a record":        {[]Evidence{has(old)}, false, Recorded},
		"one answers, and knows of the other":  {[]Evidence{serves(span, both...)}, false, Several},
		"this instance is the one out of step": {[]Evidence{serves(span, both...), serves(span, both...)}, true, Several},
	} {
		require.Equal(t, c.reason, Decide(one, c.answers, c.complete, span).Reason(), name)
	}
}
