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
	// TableReadAge is in milliseconds.
	TableReadAge   int64 `json:"g"`
	TableReachable bool  `json:"o,omitempty"`
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
	m.TableReadAge = s.TableReadAge.Milliseconds()
	m.TableReachable = s.TableReachable
}

// status is the inverse of setStatus, with the age rounded up.
func (m *message) status() store.PeerStatus {
	s := store.PeerStatus{
		Number: m.Version, Known: max(m.Known, m.Version),
		TableReadAge: time.Duration(m.TableReadAge+1) * time.Millisecond, TableReachable: m.TableReachable,
	}
	if m.TableReadAge < 0 {
		s.TableReadAge = time.Duration(m.TableReadAge) * time.Millisecond
	}
	return s
}
