package exchange

import (
	"encoding/json"
	"time"

	"github.com/kingcuplatch/kingcuplatch/version/store"
)

// message is both the call and its answer. Its keys are short, since it is most of
// the traffic between idle entries.
type message struct {
	From        string `json:"f"`
	Incarnation string `json:"i"`
	// Version and Known are configuration versions. Known is omitted if it equals
	// Version.
	Version uint64 `json:"v"`
	Known   uint64 `json:"k,omitempty"`
	// StoreAge is in milliseconds.
	StoreAge       int64 `json:"g"`
	StoreReachable bool  `json:"o,omitempty"`
	// Number is the number of the sender's State. State and Address are omitted if
	// the receiver has them.
	Number  uint64          `json:"n"`
	Address string          `json:"a,omitempty"`
	State   json.RawMessage `json:"s,omitempty"`
	// Have is the number of the receiver's State that the sender has.
	Have uint64 `json:"h,omitempty"`
	// Token is set in answers only: the nanoseconds since the sender started. The
	// receiver's next call returns it as Echo.
	Token int64 `json:"t,omitempty"`
	Echo  int64 `json:"e,omitempty"`
}

func (m *message) setStatus(s store.PeerStatus) {
	m.Version = s.Number
	if s.Known != s.Number {
		m.Known = s.Known
	}
	m.StoreAge = s.StoreAge.Milliseconds()
	m.StoreReachable = s.StoreReachable
}

// status is the inverse of setStatus, with the age rounded up.
func (m *message) status() store.PeerStatus {
	s := store.PeerStatus{
		Number: m.Version, Known: max(m.Known, m.Version),
		StoreAge: time.Duration(m.StoreAge+1) * time.Millisecond, StoreReachable: m.StoreReachable,
	}
	if m.StoreAge < 0 {
		s.StoreAge = time.Duration(m.StoreAge) * time.Millisecond
	}
	return s
}
