package entry

import (
	"time"

	"github.com/kingcuplatch/kingcuplatch/process/platform"
)

// listIsOld is the age from which the own instance list doesn't tell by itself
// which workers leave.
const listIsOld = time.Second

// maxLeavingTold bounds how many leaving workers an entry names to its peers.
const maxLeavingTold = 500

// leavingWorkers names the workers that the own list shows as leaving, unless it
// is too old to tell others.
func (e *Entry) leavingWorkers() []string {
	list := e.fleet.List()
	if time.Since(list.ReadAt) > listIsOld {
		return nil
	}
	var names []string
	for _, w := range list.Workers {
		if w.Leaving && len(names) < maxLeavingTold {
			names = append(names, w.Name)
		}
	}
	return names
}

// markLeaving marks the workers that peers say are leaving, while the own list is
// too old to know.
func (e *Entry) markLeaving(workers []platform.Instance) {
	if time.Since(e.fleet.List().ReadAt) <= listIsOld || e.Omit.PeersLeaving {
		return
	}
	told := make(map[string]bool)
	for _, p := range e.exchange.Peers(peerSilence) {
		for _, name := range p.State.Leaving {
			told[name] = true
		}
	}
	for i := range workers {
		workers[i].Leaving = workers[i].Leaving || told[workers[i].Name]
	}
}

// hearLeaving has the workers looked at anew after a peer's message, while what
// peers say counts.
func (e *Entry) hearLeaving() {
	if time.Since(e.fleet.List().ReadAt) > listIsOld {
		e.wakeSync()
	}
}
