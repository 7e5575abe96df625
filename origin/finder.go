package origin

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"auburnscale/peer"
)

// askTimeout bounds the wait for the answers of control instances.
const askTimeout = 250 * time.Millisecond

// A Dialer returns peer protocol clients.
type Dialer interface {
	// Peer returns the client for the instance at a peer address.
	Peer(address string) peer.Peer
}

// A HistorySource knows which software served.
type HistorySource interface {
	// SoftwareSeen returns the software of the service, and the time that this covers.
	SoftwareSeen(service string) ([]Seen, time.Duration)
}

// A Finder finds the origins of streams that callers take up at an entry instance.
type Finder struct {
	journal   *Journal
	history   HistorySource
	addresses func() []string
	dialer    Dialer
}

// NewFinder returns a finder that knows the journal and history of its own instance and asks the
// control instances, whose peer addresses the function returns.
func NewFinder(journal *Journal, history HistorySource, addresses func() []string, dialer Dialer) *Finder {
	return &Finder{journal: journal, history: history, addresses: addresses, dialer: dialer}
}

// Find returns what may continue the stream that the request with the hash began, at most span ago,
// at a target of one of the services. A hash of 0 stands for a request that is not known. It asks every
// control instance: one may have the record alone, and two records may differ.
func (f *Finder) Find(ctx context.Context, hash uint64, services []string, span time.Duration) Decision {
	var answers []Evidence
	addresses := f.addresses()
	question := &peer.OriginQuestion{Request: hash, Services: services}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mutex sync.Mutex
	var group sync.WaitGroup
	asked := 0
	for _, address := range addresses {
		group.Go(func() {
			answer, err := f.dialer.Peer(address).FindOrigin(ctx, question)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case err == nil:
				asked++
				answers = append(answers, decodeAnswer(answer))
			case isUnknownCall(err):
				// An instance of a release without this call adds no evidence.
				asked++
			}
		})
	}
	group.Wait()
	d := Decide(f.own(hash, services), answers, asked == len(addresses), span)
	d.conclusive = len(answers) == len(addresses)
	return d
}

// isUnknownCall reports whether the error is the answer of an instance that does not know the call.
func isUnknownCall(err error) bool {
	var answer twirp.Error
	return errors.As(err, &answer) && answer.Code() == twirp.BadRoute
}

func (f *Finder) own(hash uint64, services []string) Evidence {
	e := Evidence{}
	if o, found := f.journal.Find(hash); found {
		e.Origins = append(e.Origins, o)
	}
	e.History, e.Covered = seenOf(f.history, services)
	return e
}

func seenOf(history HistorySource, services []string) (all []Seen, covered time.Duration) {
	for _, service := range services {
		var list []Seen
		list, covered = history.SoftwareSeen(service)
		all = append(all, list...)
	}
	return all, covered
}

func decodeAnswer(answer *peer.OriginAnswer) Evidence {
	e := Evidence{Covered: peer.Age(answer.CoveredMs)}
	for _, g := range answer.Origins {
		e.Origins = append(e.Origins, Origin{Service: g.Service, Software: g.Software})
	}
	for _, s := range answer.History {
		e.History = append(e.History, Seen{Origin{Service: s.Service, Software: s.Software}, peer.Age(s.AgeMs)})
	}
	return e
}

// maxHistory bounds the software in an answer. Two kinds of it already leave the origin of a stream open.
const maxHistory = 16

// Answer returns what a control instance with the index and history knows.
func Answer(index *Index, history HistorySource, question *peer.OriginQuestion) *peer.OriginAnswer {
	answer := &peer.OriginAnswer{}
	if o, found := index.Find(question.Request); found {
		answer.Origins = append(answer.Origins, &peer.StreamOrigins{Service: o.Service, Software: o.Software})
	}
	seen, covered := seenOf(history, question.Services)
	slices.SortFunc(seen, func(a, b Seen) int { return cmp.Compare(a.Age, b.Age) })
	for _, s := range seen[:min(len(seen), maxHistory)] {
		answer.History = append(answer.History, &peer.SoftwareSeen{Service: s.Origin.Service, Software: s.Origin.Software, AgeMs: s.Age.Milliseconds()})
	}
	answer.CoveredMs = covered.Milliseconds()
	return answer
}
