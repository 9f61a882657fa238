package jobs

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// row is the stored form of a job. States has one letter per task. Placed lists the
// tasks that have an attempt and have not ended, by ascending index.
type row struct {
	Spec      Spec        `json:"s"`
	Cancelled bool        `json:"x,omitempty"`
	Started   time.Time   `json:"f,omitzero"`
	States    string      `json:"t"`
	Placed    []placedRow `json:"l,omitempty"`
	// Workers and Blocks are the names that Placed refers to by index.
	Workers []string `json:"w,omitempty"`
	Blocks  []string `json:"b,omitempty"`
}

type placedRow struct {
	Index      int    `json:"i"`
	Attempt    int    `json:"a"`
	Failures   int    `json:"f,omitempty"`
	Worker     int    `json:"w,omitempty"`
	Block      int    `json:"b,omitempty"`
	Epoch      uint64 `json:"e,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

// stringTable assigns indexes to strings in the order of their first use.
type stringTable struct {
	list    []string
	indexes map[string]int
}

func (n *stringTable) indexOf(name string) int {
	if i, ok := n.indexes[name]; ok {
		return i
	}
	if n.indexes == nil {
		n.indexes = make(map[string]int)
	}
	n.indexes[name] = len(n.list)
	n.list = append(n.list, name)
	return len(n.list) - 1
}

func (j *job) encode() ([]byte, error) {
	var workers, blocks stringTable
	r := row{Spec: j.spec, Cancelled: j.cancelled, Started: j.started}
	states := make([]byte, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		states[i] = byte(t.state)
		if t.attempt == 0 || t.state.ended() {
			continue
		}
		r.Placed = append(r.Placed, placedRow{
			Index: i, Attempt: t.attempt, Failures: t.failures,
			Worker: workers.indexOf(t.worker), Block: blocks.indexOf(t.block), Epoch: t.epoch,
			Checkpoint: t.checkpoint,
		})
	}
	r.States, r.Workers, r.Blocks = string(states), workers.list, blocks.list
	value, err := json.Marshal(&r)
	return value, eris.Wrapf(err, "encode job %s", j.spec.ID)
}

func decode(value []byte) (*job, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, eris.Wrap(err, "decode job row")
	}
	if len(r.States) != r.Spec.Tasks {
		return nil, eris.Errorf("decode job row %s: %d states for %d tasks", r.Spec.ID, len(r.States), r.Spec.Tasks)
	}
	j := newJob(r.Spec)
	j.cancelled = r.Cancelled
	j.started = r.Started
	for i := range j.tasks {
		j.tasks[i].state = TaskState(r.States[i])
	}
	for _, p := range r.Placed {
		if p.Index < 0 || p.Index >= len(j.tasks) || p.Worker >= len(r.Workers) || p.Block >= len(r.Blocks) {
			return nil, eris.Errorf("decode job row %s: placed task %d out of range", r.Spec.ID, p.Index)
		}
		t := &j.tasks[p.Index]
		t.attempt, t.failures, t.epoch, t.checkpoint = p.Attempt, p.Failures, p.Epoch, p.Checkpoint
		t.worker, t.block = r.Workers[p.Worker], r.Blocks[p.Block]
	}
	return j, nil
}
