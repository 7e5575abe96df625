package origin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"auburnscale/peer"
)

const (
	// retention is how long the record of a stream is kept after the stream ended at this
	// instance. Callers take a stream up within the timeout of their request.
	retention = 60 * time.Second
	// renewInterval is the time after which the record of an open stream is reported again. It
	// is below the time for which control instances keep a record.
	renewInterval = generationTime / 2
	// maxRecords bounds the records of an instance, which take about 300 bytes each.
	maxRecords    = 50_000
	pruneInterval = time.Second
)

// A Journal holds the origins of the streams that an entry instance lets targets begin, and what
// of them the control instances have. It is safe for concurrent use.
type Journal struct {
	now func() time.Duration

	mutex   sync.Mutex
	records map[uint64]*record
	// dirty holds the records that are to be reported.
	dirty map[*record]bool
	// reporting holds the records of the report that is under way, with the origins in it.
	reporting map[*record]Origin
	// urgent receives when a report must not wait.
	urgent   chan struct{}
	prunedAt time.Duration
}

// A record is the origin of the stream of one request id.
type record struct {
	hash   uint64
	origin Origin
	// known is true once the request has been sent to a target.
	known bool
	// owner is the part of the request that was sent, to the start of the target.
	owner       *Stream
	target      string
	incarnation int64
	sentAt      time.Duration
	// exposed is true if the origin was put into a report, and delivered if a control instance
	// has it.
	exposed, delivered bool

	open       int
	touched    time.Duration
	reportedAt time.Duration
}

// A Stream is the part of one request in the record of its id. A nil Stream records nothing.
type Stream struct {
	journal *Journal
	record  *record
}

// NewJournal returns an empty journal that takes the time from now.
func NewJournal(now func() time.Duration) *Journal {
	return &Journal{now: now, records: map[uint64]*record{}, dirty: map[*record]bool{}, urgent: make(chan struct{}, 1)}
}

// Open returns the Stream of a request, which must be closed. It returns nil for a request without
// an id, or if there are too many records.
func (j *Journal) Open(hash uint64) *Stream {
	if hash == 0 {
		return nil
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	now := j.now()
	j.prune(now)
	r := j.records[hash]
	if r == nil {
		if len(j.records) >= maxRecords {
			return nil
		}
		r = &record{hash: hash}
		j.records[hash] = r
	}
	r.open++
	r.touched = now
	return &Stream{journal: j, record: r}
}

// Close records that the request has ended.
func (s *Stream) Close() {
	if s == nil {
		return
	}
	s.journal.mutex.Lock()
	defer s.journal.mutex.Unlock()
	s.record.open--
	s.record.touched = s.journal.now()
}

// Sent records that the request is about to be sent to a start of a target of the origin, which may
// begin the stream. It returns false if the request must not be sent there: once an origin is
// exposed, a control instance may have it, and the request stays with it. Until then a target that was
// sent the request before has begun nothing. What another request with the same id began stays,
// too; the stream then has no certain origin.
func (s *Stream) Sent(o Origin, target string, incarnation int64) bool {
	if s == nil {
		return true
	}
	j := s.journal
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r := s.record
	if r.known && r.origin == disputed {
		return true
	}
	if r.known && r.owner != s && r.origin != o {
		j.change(r, disputed)
		return true
	}
	if r.exposed && r.origin != o {
		return false
	}
	r.owner, r.target, r.incarnation, r.sentAt = s, target, incarnation, j.now()
	j.change(r, o)
	return true
}

// Bound returns the origin that the request has to stay with, and whether there is one.
func (s *Stream) Bound() (Origin, bool) {
	if s == nil {
		return Origin{}, false
	}
	s.journal.mutex.Lock()
	defer s.journal.mutex.Unlock()
	r := s.record
	if !r.exposed || r.owner != s || r.origin == disputed {
		return Origin{}, false
	}
	return r.origin, true
}

// Uncertain records that it is not certain what began the stream.
func (s *Stream) Uncertain() {
	if s == nil {
		return
	}
	s.journal.mutex.Lock()
	defer s.journal.mutex.Unlock()
	if s.record.known {
		s.journal.change(s.record, disputed)
	}
}

// Broken records that the stream broke off, so that its caller may take it up at another instance
// at once.
func (s *Stream) Broken() {
	if s == nil {
		return
	}
	s.journal.mutex.Lock()
	defer s.journal.mutex.Unlock()
	if !s.record.known || s.record.delivered {
		return
	}
	select {
	case s.journal.urgent <- struct{}{}:
	default:
	}
}

// Urgent returns a channel that receives when a report must not wait.
func (j *Journal) Urgent() <-chan struct{} { return j.urgent }

// change sets the origin of a record. j.mutex must be held.
func (j *Journal) change(r *record, o Origin) {
	if r.known && r.origin == o {
		return
	}
	r.origin, r.known, r.exposed, r.delivered = o, true, false, false
	j.dirty[r] = true
}

// StartChanged records that the target has started again, with other software, at most age ago. The
// streams that were sent there since may have been begun by that start.
func (j *Journal) StartChanged(target string, incarnation int64, age time.Duration) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	now := j.now()
	for _, r := range j.records {
		if r.target == target && r.incarnation != incarnation && now-r.sentAt <= age {
			j.change(r, disputed)
		}
	}
}

// Find returns the origin of the stream that the request began, if this instance let it begin, and
// whether it did. The origin is the zero Origin if it is disputed.
func (j *Journal) Find(hash uint64) (Origin, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r := j.records[hash]
	if r == nil || !r.known {
		return Origin{}, false
	}
	return r.origin, true
}

// Report returns the records of which a control instance lacks news, or all if it has none.
// Delivered or Failed must be called before the next Report.
func (j *Journal) Report(all bool) []*peer.StreamOrigins {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	now := j.now()
	j.renew(all, now)
	j.reporting = make(map[*record]Origin, len(j.dirty))
	groups := originGroups{}
	for r := range j.dirty {
		r.exposed, r.reportedAt = true, now
		j.reporting[r] = r.origin
		groups.add(r.origin, r.hash)
	}
	clear(j.dirty)
	return groups.sorted()
}

// renew marks the records of streams that have been open for long, or all. j.mutex must be held.
func (j *Journal) renew(all bool, now time.Duration) {
	j.prune(now)
	for _, r := range j.records {
		if r.known && (all || r.open > 0 && now-r.reportedAt > renewInterval) {
			j.dirty[r] = true
		}
	}
}

// Delivered records that a control instance has the last report.
func (j *Journal) Delivered() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for r, o := range j.reporting {
		r.delivered = r.origin == o
	}
	j.reporting = nil
}

// Failed records that the last report may or may not have arrived. Its records are reported again.
func (j *Journal) Failed() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for r := range j.reporting {
		j.dirty[r] = true
	}
	j.reporting = nil
}

// prune removes the records of streams that ended longer than retention ago. j.mutex must be
// held.
func (j *Journal) prune(now time.Duration) {
	if now-j.prunedAt < pruneInterval {
		return
	}
	j.prunedAt = now
	for hash, r := range j.records {
		if r.open <= 0 && now-r.touched > retention {
			delete(j.records, hash)
			delete(j.dirty, r)
		}
	}
}

// originGroups collects the requests of each origin for a report.
type originGroups map[Origin]*peer.StreamOrigins

func (g originGroups) add(o Origin, hash uint64) {
	if g[o] == nil {
		g[o] = &peer.StreamOrigins{Service: o.Service, Software: o.Software}
	}
	g[o].Requests = append(g[o].Requests, hash)
}

func (g originGroups) sorted() []*peer.StreamOrigins {
	var list []*peer.StreamOrigins
	for _, group := range g {
		slices.Sort(group.Requests)
		list = append(list, group)
	}
	slices.SortFunc(list, func(a, b *peer.StreamOrigins) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	return list
}
