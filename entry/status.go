package entry

import (
	"encoding/json"
	"net/http"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/slot"
)

// Status describes an entry and what it knows, for GET /status.
type Status struct {
	Entry       instance.ID                   `json:"entry"`
	Incarnation instance.Incarnation          `json:"incarnation"`
	Centre      site.DataCentre               `json:"centre"`
	Ready       bool                          `json:"ready"`
	Stopping    bool                          `json:"stopping"`
	Config      record.Offset                 `json:"config"`
	Offsets     map[record.Stream]StreamState `json:"offsets"`
	Peers       []PeerState                   `json:"peers"`
	Pools       []PoolState                   `json:"pools"`
	Slots       []slot.Usage                  `json:"slots"`
	Instances   []fleet.Instance              `json:"instances"`
	// Flight is the number of requests in flight.
	Flight int `json:"flight"`
}

// StreamState tells how far a stream is read.
type StreamState struct {
	Next record.Offset `json:"next"`
	// Silence is the time in milliseconds since the last contact with the log; -1 if there was none.
	Silence int64 `json:"silence"`
	Loaded  bool  `json:"loaded"`
}

// PeerState is the last report of a peer.
type PeerState struct {
	Entry   instance.ID   `json:"entry"`
	Centre  string        `json:"centre"`
	Ready   bool          `json:"ready"`
	Config  record.Offset `json:"config"`
	Silence int64         `json:"silence"`
}

// PoolState counts the instances of a pool.
type PoolState struct {
	Pool    pool.Name    `json:"pool"`
	Targets fleet.Counts `json:"targets"`
	Workers fleet.Counts `json:"workers"`
}

// UnreadyError reports an entry that takes no traffic.
type UnreadyError struct {
	Reason string
}

func (e *UnreadyError) Error() string { return "entry is not ready: " + e.Reason }

// Code implements failure.Coded.
func (e *UnreadyError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *UnreadyError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// Status returns the present status.
func (e *Entry) Status() Status {
	s := Status{
		Entry: e.self.Entry, Incarnation: e.self.Incarnation, Centre: e.settings.Centre,
		Ready: e.unready() == nil, Stopping: e.stopping.Load(), Config: e.config.Version(),
		Offsets: map[record.Stream]StreamState{}, Slots: e.owners.Usage(),
		Instances: e.fleet.All(), Flight: e.handler.InFlight(),
	}
	for name, c := range e.channels {
		s.Offsets[name] = StreamState{Next: c.follower.Offset(), Silence: e.silence(c), Loaded: c.loaded()}
	}
	for _, p := range e.group.Peers() {
		s.Peers = append(s.Peers, PeerState{
			Entry: instance.ID(p.GetEntry()), Centre: p.GetCentre(), Ready: p.GetReady(),
			Config: record.Offset(p.GetConfig()), Silence: p.GetSilence(),
		})
	}
	if settings := e.siteSettings(); settings != nil {
		for _, name := range sortedPools(settings.Pools) {
			s.Pools = append(s.Pools, PoolState{
				Pool: name, Targets: e.fleet.Counts(name, instance.KindTarget), Workers: e.fleet.Counts(name, instance.KindWorker),
			})
		}
	}
	return s
}

func (e *Entry) silence(c *channel) int64 {
	contact := c.follower.Contact()
	if contact.IsZero() {
		return -1
	}
	return e.timer.Since(contact).Milliseconds()
}

func (e *Entry) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller is gone.
	_ = json.NewEncoder(w).Encode(e.Status())
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := e.unready(); err != nil {
		failure.Write(w, "", err)
		return
	}
	w.WriteHeader(http.StatusOK)
}
