package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"auburnscale/peer"
)

// fill adds that many records of two origins to the index.
func fill(x *Index, records int) []uint64 {
	random := rand.New(rand.NewPCG(1, 2))
	groups := []*peer.StreamOrigins{{Service: "lm", Software: old.Software}, {Service: "lm", Software: newer.Software}}
	var hashes []uint64
	for n := range records {
		hash := random.Uint64()
		hashes = append(hashes, hash)
		groups[n%2].Requests = append(groups[n%2].Requests, hash)
	}
	x.Copy(groups)
	return hashes
}

// BenchmarkIndexReport adds the report of an entry instance, three streams, to an index with as many
// records as fleets of three sizes have.
func BenchmarkIndexReport(b *testing.B) {
	for _, records := range []int{2_000, 60_000, 250_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			x := NewIndex((&testClock{}).now)
			fill(x, records)
			report := []*peer.StreamOrigins{{Service: "lm", Software: old.Software, Requests: []uint64{1, 2, 3}}}
			b.ReportAllocs()
			for b.Loop() {
				x.Report(report)
				_, position := x.Uncopied()
				x.Copied(position)
			}
		})
	}
}

// BenchmarkIndexFind looks one record up.
func BenchmarkIndexFind(b *testing.B) {
	for _, records := range []int{2_000, 60_000, 250_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			x := NewIndex((&testClock{}).now)
			hashes := fill(x, records)
			n := 0
			for b.Loop() {
				x.Find(hashes[n%records])
				n++
			}
		})
	}
}

// BenchmarkIndexMemory reports the bytes of a record.
func BenchmarkIndexMemory(b *testing.B) {
	const records = 250_000
	b.ReportAllocs()
	for b.Loop() {
		fill(NewIndex((&testClock{}).now), records)
	}
}

// BenchmarkJournal records one stream from its first send to its end, and reports it.
func BenchmarkJournal(b *testing.B) {
	j := NewJournal((&testClock{}).now)
	hash := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		hash = hash%1000 + 1
		s := j.Open(hash)
		s.Sent(old, "a", 1)
		s.Close()
		j.Report(false)
		j.Delivered()
	}
}
