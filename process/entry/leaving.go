package entry

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// maxListAge is the age up to which this entry's instance list is recent enough to show
// which workers are leaving.
const maxListAge = time.Second

// maxLeavingSent bounds how many leaving workers an entry names to its peers.
const maxLeavingSent = 500

// leavingWorkers returns the names of the workers that are leaving according to this
// entry's list, or nil if the list is too old.
func (e *Entry) leavingWorkers() []string {
	list := e.fleet.List()
	if time.Since(list.ReadAt) > maxListAge {
		return nil
	}
	var names []string
	for _, w := range list.Workers {
		if w.Leaving && len(names) < maxLeavingSent {
			names = append(names, w.Name)
		}
	}
	return names
}

// markLeaving marks the workers that are leaving according to peers, while this entry's
// list is too old.
func (e *Entry) markLeaving(workers []platform.Instance) {
	if time.Since(e.fleet.List().ReadAt) <= maxListAge || e.Omit.PeersLeaving {
		return
	}
	leaving := make(map[string]bool)
	for _, p := range e.exchange.Peers(peerTimeout) {
		for _, name := range p.State.Leaving {
			leaving[name] = true
		}
	}
	for i := range workers {
		workers[i].Leaving = workers[i].Leaving || leaving[workers[i].Name]
	}
}

// syncLeaving requests a sync of the workers after a peer's message, while this entry's
// list is too old and the peers' lists of leaving workers replace it.
func (e *Entry) syncLeaving() {
	if time.Since(e.fleet.List().ReadAt) > maxListAge {
		e.requestSync()
	}
}
