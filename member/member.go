// Package member tracks which entries are live and ranks them (Group). Membership is only a hint: it
// decides who proposes first and who owns a pool's slots, but correctness does not depend on it. Only
// "hibiscuslane serve" uses it; the processes of "hibiscuslane run" elect an owner (package election).
package member

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	// heartbeatPeriod is the interval between status reports. One exchange per second with each of 8 peers
	// costs less than the 4 KB/s that a daemon may spend on control traffic.
	heartbeatPeriod = time.Second
	// liveTimeout is how long an entry counts as live after its last report. It tolerates two lost reports.
	liveTimeout = 3 * time.Second
	// callTimeout bounds one status report and one read of the platform's list.
	callTimeout = 800 * time.Millisecond
	// ownerListPeriod is the interval at which the owner of listRankKey reads the platform's list. A shorter
	// one is of no use because the list itself lags. The other entries learn the important changes from the
	// fleet stream and from refusals.
	ownerListPeriod = 2 * time.Second
	// otherListPeriod is the interval of the other entries. The list takes about 200 bytes per instance,
	// so reading it every 2 s everywhere would cost far more than the 4 KB/s that a daemon may spend on
	// control traffic.
	otherListPeriod = 15 * time.Second
	// listRankKey is the key whose owner reads the list more often than the other entries.
	listRankKey = "list"
)

// Group is the set of entries that this entry knows. Exported fields must be set before Run.
type Group struct {
	// Self is the id of this entry.
	Self      instance.ID
	Directory upstream.Directory
	Clients   *peer.Clients
	Timer     *timer.Service
	Events    event.Log
	// Status returns the status report of this entry. It must not block.
	Status func() *peer.Status

	mu sync.Mutex
	// started is when Run began; zero before.
	started time.Time
	peers   map[instance.ID]*peerState
	// list is the last list that the platform returned.
	list       []upstream.Instance
	listReadAt time.Time
	// leaving holds the targets that are leaving according to the list.
	leaving map[instance.ID]instance.Incarnation
	// mustAnnounce is set when a target has begun to leave since the last exchange.
	mustAnnounce bool
	// hasUnlistedPeer is set when an unlisted entry has reported since the list was last read.
	hasUnlistedPeer bool
}

// peerState is what is known about one peer.
type peerState struct {
	address instance.Address
	status  *peer.Status
	// lastReportAt is when the peer last reported; zero if it never has.
	lastReportAt time.Time
	// loggedLive is set if the last logged change says that the peer is live.
	loggedLive bool
}

// Run exchanges status reports until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	g.mu.Lock()
	g.started = g.Timer.Now()
	g.mu.Unlock()
	tick := g.Timer.Every(heartbeatPeriod)
	defer tick.Stop()
	for {
		g.refreshList(ctx)
		g.exchange(ctx)
		g.logChanges()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
		}
	}
}

// refreshList reads the platform's list if the list is due.
func (g *Group) refreshList(ctx context.Context) {
	g.mu.Lock()
	listReadAt, hasUnlistedPeer := g.listReadAt, g.hasUnlistedPeer
	g.mu.Unlock()
	period := g.listPeriod()
	if hasUnlistedPeer {
		period = ownerListPeriod
	}
	// Reading the list takes part of a heartbeat period. The tolerance of half a period keeps the interval from
	// growing by a whole one.
	if !listReadAt.IsZero() && g.Timer.Since(listReadAt) < period-heartbeatPeriod/2 {
		return
	}
	listCtx, cancel := g.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := g.Directory.List(listCtx)
	if err != nil {
		g.Events.Warn(eventListFailed, "error", err)
		return
	}
	g.SetList(list)
}

// listPeriod returns how often this entry reads the list. An entry that knows no live peer reads it often
// because the list is its only way to find a peer that has just started.
func (g *Group) listPeriod() time.Duration {
	if g.Owner(listRankKey) == g.Self {
		return ownerListPeriod
	}
	return otherListPeriod
}

// SetList stores the platform's list. From now on, the peers are the other entries on it.
func (g *Group) SetList(list []upstream.Instance) {
	g.mu.Lock()
	g.list, g.listReadAt, g.hasUnlistedPeer = list, g.Timer.Now(), false
	g.recordLeavingLocked(list)
	addresses := map[instance.ID]instance.Address{}
	for _, listedInstance := range list {
		if listedInstance.Kind == instance.KindEntry && listedInstance.ID != g.Self {
			addresses[listedInstance.ID] = listedInstance.Address
		}
	}
	if g.peers == nil {
		g.peers = map[instance.ID]*peerState{}
	}
	for id := range g.peers {
		if _, ok := addresses[id]; !ok {
			delete(g.peers, id)
		}
	}
	listedAddresses := make([]instance.Address, 0, len(addresses))
	for id, address := range addresses {
		listedAddresses = append(listedAddresses, address)
		if g.peers[id] == nil {
			g.peers[id] = &peerState{}
		}
		g.peers[id].address = address
	}
	g.mu.Unlock()
	g.Clients.Keep(listedAddresses)
}

// recordLeavingLocked records which targets are leaving according to the list.
func (g *Group) recordLeavingLocked(list []upstream.Instance) {
	leaving := map[instance.ID]instance.Incarnation{}
	for _, listedInstance := range list {
		if listedInstance.Kind != instance.KindTarget || listedInstance.State != upstream.StateLeaving {
			continue
		}
		leaving[listedInstance.ID] = listedInstance.Incarnation
		if known, ok := g.leaving[listedInstance.ID]; !ok || known < listedInstance.Incarnation {
			g.mustAnnounce = true
		}
	}
	g.leaving = leaving
}

// LeavingTargets returns the targets that are leaving according to this entry's list, in ascending order.
func (g *Group) LeavingTargets() []*peer.Leaving {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*peer.Leaving
	for id, incarnation := range g.leaving {
		list = append(list, &peer.Leaving{Target: string(id), Incarnation: uint64(incarnation)})
	}
	slices.SortFunc(list, func(a, b *peer.Leaving) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	return list
}

// takeMustAnnounce reports whether all peers must be informed now because a target has begun to leave, and resets
// the flag.
func (g *Group) takeMustAnnounce() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	mustAnnounce := g.mustAnnounce
	g.mustAnnounce = false
	return mustAnnounce
}

// exchange calls the peers with a higher id. Peers with a lower id call this entry, and one call gives both
// sides the status of the other. A silent peer with a lower id is called as well because its list may not
// contain this entry yet. If a target has begun to leave, all peers are called.
func (g *Group) exchange(ctx context.Context) {
	status := g.Status()
	var wait sync.WaitGroup
	mustAnnounce := g.takeMustAnnounce()
	for id, address := range g.Addresses() {
		if id < g.Self && g.hasReportedRecently(id) && !mustAnnounce {
			continue
		}
		wait.Go(func() {
			callCtx, cancel := g.Timer.WithTimeout(ctx, callTimeout)
			defer cancel()
			response, err := g.Clients.Get(address).Report(callCtx, status)
			if err == nil {
				g.RecordStatus(response)
			}
		})
	}
	wait.Wait()
}

// hasReportedRecently reports whether a peer has reported within the last two heartbeat periods.
func (g *Group) hasReportedRecently(id instance.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.peers[id]
	return state != nil && !state.lastReportAt.IsZero() && g.Timer.Since(state.lastReportAt) < 2*heartbeatPeriod
}

// Report implements peer.Reporter.
func (g *Group) Report(_ context.Context, status *peer.Status) (*peer.Status, error) {
	g.RecordStatus(status)
	return g.Status(), nil
}

// RecordStatus records a status report. Reports of an earlier incarnation are ignored until the later one is silent: the clock of an
// entry may be set back before it starts again. A report of an unlisted entry only makes this entry read the list sooner.
func (g *Group) RecordStatus(status *peer.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.peers[instance.ID(status.GetEntry())]
	if state == nil {
		// The address of an unlisted peer is unknown until the list is read again.
		g.hasUnlistedPeer = g.hasUnlistedPeer || status.GetEntry() != string(g.Self)
		return
	}
	if state.status != nil && status.GetIncarnation() < state.status.GetIncarnation() && !g.isSilentLocked(state) {
		return
	}
	state.status = status
	state.lastReportAt = g.Timer.Now()
}

// logChanges logs which peers have become live and which are no longer live.
func (g *Group) logChanges() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, state := range g.peers {
		live := g.isLiveLocked(state)
		if live != state.loggedLive {
			state.loggedLive = live
			if live {
				g.Events.Info(eventPeerUp, "peer", id, "incarnation", state.status.GetIncarnation())
			} else {
				g.Events.Warn(eventPeerDown, "peer", id)
			}
		}
	}
}

func (g *Group) isLiveLocked(state *peerState) bool {
	return !g.isSilentLocked(state) && !state.status.GetStopping()
}

func (g *Group) isSilentLocked(state *peerState) bool {
	return state.lastReportAt.IsZero() || g.Timer.Since(state.lastReportAt) >= liveTimeout
}

// IsSilent reports whether a peer is not listed or has not reported for liveTimeout. A peer that is stopping is not live,
// but reports until its requests have ended.
func (g *Group) IsSilent(id instance.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.peers[id]
	return state == nil || g.isSilentLocked(state)
}

// Incarnation returns the incarnation of a peer that has reported last; zero if none has.
func (g *Group) Incarnation(id instance.ID) instance.Incarnation {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.peers[id]
	if state == nil {
		return 0
	}
	return instance.Incarnation(state.status.GetIncarnation())
}

// LiveEntries returns the live entries in ascending order, including this entry.
func (g *Group) LiveEntries() []instance.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	live := []instance.ID{g.Self}
	for id, state := range g.peers {
		if g.isLiveLocked(state) {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// LastReport is the last status report of a peer and its age.
type LastReport struct {
	Status *peer.Status
	Age    time.Duration
}

// LastReports returns the last status report of each listed peer that has ever reported, in ascending order
// of their ids.
func (g *Group) LastReports() []LastReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	var reports []LastReport
	for _, state := range g.peers {
		if !state.lastReportAt.IsZero() {
			reports = append(reports, LastReport{Status: state.status, Age: g.Timer.Since(state.lastReportAt)})
		}
	}
	slices.SortFunc(reports, func(a, b LastReport) int { return cmp.Compare(a.Status.GetEntry(), b.Status.GetEntry()) })
	return reports
}

// LivePeers returns the last status report of each live peer, in ascending order of their ids.
func (g *Group) LivePeers() []*peer.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	var peers []*peer.Status
	for _, state := range g.peers {
		if g.isLiveLocked(state) {
			peers = append(peers, state.status)
		}
	}
	slices.SortFunc(peers, func(a, b *peer.Status) int { return cmp.Compare(a.GetEntry(), b.GetEntry()) })
	return peers
}

// Addresses returns the addresses of all listed peers, live or not.
func (g *Group) Addresses() map[instance.ID]instance.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := make(map[instance.ID]instance.Address, len(g.peers))
	for id, state := range g.peers {
		addresses[id] = state.address
	}
	return addresses
}

// Address returns the address of a listed peer.
func (g *Group) Address(id instance.ID) (instance.Address, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state, ok := g.peers[id]
	if !ok {
		return "", false
	}
	return state.address, true
}

// List returns the platform's last list and when it was read.
func (g *Group) List() ([]upstream.Instance, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list, g.listReadAt
}

// Order returns the live entries ordered by rendezvous hashing of the key, the preferred entry first.
func (g *Group) Order(key string) []instance.ID {
	live := g.LiveEntries()
	weights := make(map[instance.ID]uint64, len(live))
	for _, id := range live {
		weights[id] = xxhash.Sum64String(string(id) + "\x00" + key)
	}
	slices.SortFunc(live, func(a, b instance.ID) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return live
}

// Owner returns the preferred entry for a key.
func (g *Group) Owner(key string) instance.ID {
	return g.Order(key)[0]
}

// Rank returns the position of this entry in the order for a key; 0 is the preferred entry. An entry that has
// just started ranks last: it has not heard from its peers yet and would otherwise consider itself preferred
// for every key.
func (g *Group) Rank(key string) int {
	if last, ok := g.newcomerRank(); ok {
		return last
	}
	return slices.Index(g.Order(key), g.Self)
}

// newcomerRank returns the last rank among the listed entries, and whether this entry has listened to its
// peers for less than liveTimeout.
func (g *Group) newcomerRank() (last int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers), !g.started.IsZero() && g.Timer.Since(g.started) < liveTimeout
}
