package ownership

import "time"

// Kept returns what this entry keeps as a witness of other entries and has kept for less than
// RetainFor, in no particular order of the owners. Their next owners need it once this
// process has ended.
func (m *Manager) Kept() []rawMessage {
	return m.witness.kept(time.Now())
}

func (w *witness) kept(now time.Time) []rawMessage {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []rawMessage
	for _, o := range w.owners {
		o.dropDeltas(now.Add(-w.retain))
		all = append(all, o.replicated()...)
	}
	return all
}
