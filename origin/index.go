package origin

import (
	"sync"
	"time"

	"auburnscale/peer"
)

const (
	// generationTime is the time after which a generation of records ends. A record is kept for
	// one to two of them after its last report.
	generationTime = 60 * time.Second
	// maxGeneration bounds the records of a generation, which take about 60 bytes each. It holds
	// what the largest fleet begins in a minute.
	maxGeneration = 300_000
	// maxUncopied bounds the records that wait to be given to another control instance.
	maxUncopied = 65_536
)

// An Index holds, at a control instance, the origins that entry instances reported to it or to
// another one. It is safe for concurrent use.
type Index struct {
	now func() time.Duration

	mutex sync.Mutex
	// current and previous hold the records of two generations by request.
	current, previous map[uint64]Origin
	began             time.Duration
	// origins holds each origin once, so that records share its texts.
	origins map[Origin]Origin
	// uncopied holds what entry instances reported since the last copy.
	uncopied []copied
}

// A copied record is one that waits to be given to another control instance.
type copied struct {
	hash   uint64
	origin Origin
}

// NewIndex returns an empty index that takes the time from now.
func NewIndex(now func() time.Duration) *Index {
	return &Index{now: now, current: map[uint64]Origin{}, previous: map[uint64]Origin{}, origins: map[Origin]Origin{}, began: now()}
}

// Report adds what an entry instance reported.
func (x *Index) Report(groups []*peer.StreamOrigins) { x.add(groups, true) }

// Copy adds what another control instance got from entry instances.
func (x *Index) Copy(groups []*peer.StreamOrigins) { x.add(groups, false) }

func (x *Index) add(groups []*peer.StreamOrigins, report bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, g := range groups {
		o := x.shared(Origin{Service: g.Service, Software: g.Software})
		for _, hash := range g.Requests {
			x.rotate()
			x.current[hash] = x.merged(hash, o)
			if report && len(x.uncopied) < maxUncopied {
				x.uncopied = append(x.uncopied, copied{hash, o})
			}
		}
	}
}

// merged returns the origin of a request about which there is news. Two origins mean that the id was
// used twice, or that the first is not certain. The order of the news does not matter.
func (x *Index) merged(hash uint64, o Origin) Origin {
	if known, found := x.find(hash); found && known != o {
		return disputed
	}
	return o
}

// shared returns the origin with texts that other records use too.
func (x *Index) shared(o Origin) Origin {
	known, found := x.origins[o]
	if !found {
		x.origins[o] = o
		return o
	}
	return known
}

// rotate begins a generation if the current one is over.
func (x *Index) rotate() {
	now := x.now()
	if now-x.began < generationTime && len(x.current) < maxGeneration {
		return
	}
	x.previous, x.current, x.began = x.current, make(map[uint64]Origin, len(x.current)), now
	x.origins = map[Origin]Origin{}
}

func (x *Index) find(hash uint64) (Origin, bool) {
	if o, found := x.current[hash]; found {
		return o, true
	}
	o, found := x.previous[hash]
	return o, found
}

// Find returns the origin of the stream that the request began and whether the index has it. The
// origin is the zero Origin if it is disputed.
func (x *Index) Find(hash uint64) (Origin, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.find(hash)
}

// Len returns the number of records.
func (x *Index) Len() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return len(x.current) + len(x.previous)
}

// Uncopied returns what entry instances reported and no other control instance has, and the
// position for Copied.
func (x *Index) Uncopied() ([]*peer.StreamOrigins, int) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	groups := originGroups{}
	for _, c := range x.uncopied {
		groups.add(c.origin, c.hash)
	}
	return groups.sorted(), len(x.uncopied)
}

// Copied records that another control instance has what Uncopied returned with the position.
func (x *Index) Copied(position int) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.uncopied = x.uncopied[position:]
	if len(x.uncopied) == 0 {
		x.uncopied = nil
	}
}
