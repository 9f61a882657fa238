package queue

// ranked is a team with its tag, the virtual time by which teams are ordered.
type ranked struct {
	team *teamState
	tag  float64
	// order breaks ties between equal tags.
	order int
}

func (r ranked) before(s ranked) bool {
	return r.tag < s.tag || r.tag == s.tag && r.order < s.order
}

// ranking returns teams in ascending order of their tags. It is a binary heap, because most callers need only
// the first few teams.
type ranking struct{ entries []ranked }

// prepare turns the entries into a heap.
func (r *ranking) prepare() {
	for i := len(r.entries)/2 - 1; i >= 0; i-- {
		r.siftDown(i)
	}
}

// next removes and returns the first team, or nil if there are none left.
func (r *ranking) next() *teamState {
	if len(r.entries) == 0 {
		return nil
	}
	first := r.entries[0].team
	last := len(r.entries) - 1
	r.entries[0] = r.entries[last]
	r.entries = r.entries[:last]
	r.siftDown(0)
	return first
}

func (r *ranking) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(r.entries) {
			return
		}
		if child+1 < len(r.entries) && r.entries[child+1].before(r.entries[child]) {
			child++
		}
		if !r.entries[child].before(r.entries[i]) {
			return
		}
		r.entries[i], r.entries[child] = r.entries[child], r.entries[i]
		i = child
	}
}
