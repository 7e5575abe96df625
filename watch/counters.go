package watch

import "auburnscale/peer"

// sentCounters holds the counters of started requests that a control instance has
// received from a poll loop, so that each request carries only those that grew since.
// Counters are cumulative: one that is sent again changes nothing.
type sentCounters struct {
	// server is the incarnation of the control instance.
	server   string
	received map[sentKey]int64
}

type sentKey struct {
	window    int64
	workspace string
}

func keyOf(c *peer.BegunCounter) sentKey { return sentKey{c.Window, c.Workspace} }

// missing returns the counters that the control instance does not have yet.
func (s *sentCounters) missing(all []*peer.BegunCounter) []*peer.BegunCounter {
	var list []*peer.BegunCounter
	for _, c := range all {
		if s.received[keyOf(c)] < c.Requests {
			list = append(list, c)
		}
	}
	return list
}

// acknowledge records that the incarnation of the control instance received the counters
// that were sent. It forgets those that are no longer among all.
func (s *sentCounters) acknowledge(server string, all, sent []*peer.BegunCounter) {
	next := make(map[sentKey]int64, len(all))
	if server == s.server {
		for _, c := range all {
			if n, ok := s.received[keyOf(c)]; ok {
				next[keyOf(c)] = n
			}
		}
	}
	for _, c := range sent {
		next[keyOf(c)] = c.Requests
	}
	s.server, s.received = server, next
}
