package admit

func (t *Ticket) before(other *Ticket) bool {
	if t.virtualStart != other.virtualStart {
		return t.virtualStart < other.virtualStart
	}
	return t.sequence < other.sequence
}

type waitHeap []*Ticket

func (h waitHeap) Len() int           { return len(h) }
func (h waitHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a ticket, for container/heap.
func (h *waitHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop removes the last ticket, for container/heap.
func (h *waitHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
