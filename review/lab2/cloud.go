package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// upkeepTime is how long an upkeep takes.
const upkeepTime = 2 * time.Second

// cloud is the platform's machine service.
type cloud struct {
	record  *record
	world   *world
	address string
}

func newCloud(rec *record, w *world, address string) (*cloud, error) {
	c := &cloud{record: rec, world: w, address: address}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kingcuplatch/machines", c.list)
	mux.HandleFunc("POST /kingcuplatch/machine-upkeep", c.upkeep)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, mux) }()
	return c, nil
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.world.mu.Lock()
	machines := []map[string]any{}
	for _, m := range c.world.machines {
		row := map[string]any{
			"machine": m.name, "pool": c.world.service, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack},
			"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "id": "",
		}
		if m.worker != nil {
			row["id"] = m.worker.id
		}
		machines = append(machines, row)
	}
	c.world.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answerJSON(w, http.StatusBadRequest, map[string]string{})
		return
	}
	c.record.write("cloud", "upkeep of %s for wave %d, by %s with fence %s", o.Machine, o.Wave, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
	c.world.mu.Lock()
	var m *machine
	for _, one := range c.world.machines {
		if one.name == o.Machine {
			m = one
		}
	}
	status, reason := http.StatusOK, ""
	begins := false
	switch {
	case m == nil:
		status = http.StatusBadRequest
	case m.upkept[o.Wave]:
	case m.state != "up":
		status, reason = http.StatusConflict, "busy"
	default:
		begins = true
		m.upkept[o.Wave] = true
	}
	c.world.mu.Unlock()
	if begins {
		m.powerOff("upkeep")
		time.AfterFunc(upkeepTime, func() {
			if err := m.powerOn(); err != nil {
				c.record.write("cloud", "%s doesn't come back: %v", m.name, err)
			}
		})
	}
	answerJSON(w, status, map[string]string{"reason": reason})
}
