package cluster

import "github.com/kingcuplatch/kingcuplatch/process/cell"

// SetAsideJobs returns the jobs that are set aside. ok is false if this entry doesn't schedule.
func (n *Node) SetAsideJobs() (list []cell.SetAsideJob, ok bool) {
	n.mu.Lock()
	r := n.leadership
	n.mu.Unlock()
	if r == nil || r.over() {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cell.SetAsideJobs(), true
}
