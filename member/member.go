// Package member tracks which entries are live and ranks them. Membership is a hint: it says who
// proposes first and who owns a pool's slots, never what is true.
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
	// heartbeat is the period of reports. One exchange a second with each of 8 peers costs less than
	// the 4 KB/s that a daemon may spend on control.
	heartbeat = time.Second
	// liveness is the age up to which a report counts. Two lost reports do no harm.
	liveness      = 3 * time.Second
	reportTimeout = 800 * time.Millisecond
	// listPeriod is the period at which the first-ranked entry reads the platform's list, which lags
	// anyway. It plans from it, and the others learn the changes that matter from the fleet stream and
	// from refusals.
	listPeriod = 2 * time.Second
	// listPeriodOther is the period of the other entries. The list takes about 200 bytes per instance,
	// so that reading it every 2 s everywhere would cost far more than the 4 KB/s that a daemon may
	// spend on control.
	listPeriodOther = 15 * time.Second
	listDecision    = "list"
)

// Group is the set of entries that this entry knows. Set the exported fields before Run.
type Group struct {
	// Self is the id of this entry.
	Self      instance.ID
	Directory upstream.Directory
	Clients   *peer.Clients
	Timer     *timer.Service
	Events    event.Log
	// Status returns the report of this entry. It must not block.
	Status func() *peer.Status

	mu sync.Mutex
	// started is the time at which Run began; zero before.
	started time.Time
	known   map[instance.ID]*contact
	// listed is the last list that the platform returned.
	listed   []upstream.Listing
	listedAt time.Time
	// leaving holds the targets that the list shows as leaving.
	leaving map[instance.ID]instance.Incarnation
	// announce is set when a target has begun to leave since the last exchange.
	announce bool
	// stranger is set when an entry that is not listed has reported since the last list.
	stranger bool
}

// contact is what is known of one peer.
type contact struct {
	address instance.Address
	status  *peer.Status
	// heard is the time of the last report; zero if there was none.
	heard time.Time
	up    bool
}

// Run exchanges reports until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	g.mu.Lock()
	g.started = g.Timer.Now()
	g.mu.Unlock()
	tick := g.Timer.Every(heartbeat)
	defer tick.Stop()
	for {
		g.refresh(ctx)
		g.exchange(ctx)
		g.logChanges()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
		}
	}
}

func (g *Group) refresh(ctx context.Context) {
	g.mu.Lock()
	listedAt, stranger := g.listedAt, g.stranger
	g.mu.Unlock()
	period := g.listPeriod()
	if stranger {
		period = listPeriod
	}
	// The read of an earlier heartbeat took time of its own; half a heartbeat keeps the period from
	// growing by a whole one.
	if !listedAt.IsZero() && g.Timer.Since(listedAt) < period-heartbeat/2 {
		return
	}
	listCtx, cancel := g.Timer.WithTimeout(ctx, reportTimeout)
	defer cancel()
	list, err := g.Directory.List(listCtx)
	if err != nil {
		g.Events.Warn(eventListFailed, "error", err)
		return
	}
	g.SetList(list)
}

// listPeriod returns how often this entry reads the list. An entry that knows no live peer reads often,
// because a peer that just started is found by the list only.
func (g *Group) listPeriod() time.Duration {
	if g.Owner(listDecision) == g.Self {
		return listPeriod
	}
	return listPeriodOther
}

// SetList replaces the platform's list.
func (g *Group) SetList(list []upstream.Listing) {
	g.mu.Lock()
	g.listed, g.listedAt, g.stranger = list, g.Timer.Now(), false
	g.noteLeavingLocked(list)
	addresses := map[instance.ID]instance.Address{}
	for _, l := range list {
		if l.Kind == instance.KindEntry && l.ID != g.Self {
			addresses[l.ID] = l.Address
		}
	}
	if g.known == nil {
		g.known = map[instance.ID]*contact{}
	}
	for id := range g.known {
		if _, ok := addresses[id]; !ok {
			delete(g.known, id)
		}
	}
	keep := make([]instance.Address, 0, len(addresses))
	for id, address := range addresses {
		keep = append(keep, address)
		if g.known[id] == nil {
			g.known[id] = &contact{}
		}
		g.known[id].address = address
	}
	g.mu.Unlock()
	g.Clients.Keep(keep)
}

// noteLeavingLocked takes up which targets the list shows as leaving.
func (g *Group) noteLeavingLocked(list []upstream.Listing) {
	leaving := map[instance.ID]instance.Incarnation{}
	for _, l := range list {
		if l.Kind != instance.KindTarget || l.State != upstream.StateLeaving {
			continue
		}
		leaving[l.ID] = l.Incarnation
		if known, ok := g.leaving[l.ID]; !ok || known < l.Incarnation {
			g.announce = true
		}
	}
	g.leaving = leaving
}

// LeavingTargets returns the targets that this entry's list shows as leaving, in ascending order.
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

// takeAnnounce reports whether all peers have to be told at once, because a target has begun to leave.
func (g *Group) takeAnnounce() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	announce := g.announce
	g.announce = false
	return announce
}

// exchange calls the peers with a higher id. Those with a lower id call this entry, and both learn
// the other's status from one call. A peer with a lower id that is silent is called too: it may not
// have read a list with this entry yet.
func (g *Group) exchange(ctx context.Context) {
	status := g.Status()
	var wait sync.WaitGroup
	announce := g.takeAnnounce()
	for id, address := range g.Addresses() {
		if id < g.Self && g.heard(id) && !announce {
			continue
		}
		wait.Go(func() {
			callCtx, cancel := g.Timer.WithTimeout(ctx, reportTimeout)
			defer cancel()
			answer, err := g.Clients.Get(address).Report(callCtx, status)
			if err == nil {
				g.RecordStatus(answer)
			}
		})
	}
	wait.Wait()
}

// heard reports whether a peer reported within the last two heartbeats.
func (g *Group) heard(id instance.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.known[id]
	return c != nil && !c.heard.IsZero() && g.Timer.Since(c.heard) < 2*heartbeat
}

// Report implements peer.Reporter.
func (g *Group) Report(_ context.Context, status *peer.Status) (*peer.Status, error) {
	g.RecordStatus(status)
	return g.Status(), nil
}

// RecordStatus records a report. Reports of an earlier incarnation are ignored.
func (g *Group) RecordStatus(status *peer.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.known[instance.ID(status.GetEntry())]
	if c == nil {
		// A peer that is not listed yet has no address to call back. It is in the next list.
		g.stranger = status.GetEntry() != string(g.Self)
		return
	}
	if c.status != nil && status.GetIncarnation() < c.status.GetIncarnation() {
		return
	}
	c.status = status
	c.heard = g.Timer.Now()
}

func (g *Group) logChanges() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, c := range g.known {
		up := g.liveLocked(c)
		if up != c.up {
			c.up = up
			if up {
				g.Events.Info(eventUp, "peer", id, "incarnation", c.status.GetIncarnation())
			} else {
				g.Events.Warn(eventDown, "peer", id)
			}
		}
	}
}

func (g *Group) liveLocked(c *contact) bool {
	return !c.heard.IsZero() && g.Timer.Since(c.heard) < liveness && !c.status.GetStopping()
}

// LiveEntries returns the live entries in ascending order, this entry included.
func (g *Group) LiveEntries() []instance.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	live := []instance.ID{g.Self}
	for id, c := range g.known {
		if g.liveLocked(c) {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// LastReport is the last report of a peer and its age.
type LastReport struct {
	Status *peer.Status
	Age    time.Duration
}

// LastReports returns the last report of each listed peer that was ever heard, in ascending order of
// their ids.
func (g *Group) LastReports() []LastReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	var contacts []LastReport
	for _, c := range g.known {
		if !c.heard.IsZero() {
			contacts = append(contacts, LastReport{Status: c.status, Age: g.Timer.Since(c.heard)})
		}
	}
	slices.SortFunc(contacts, func(a, b LastReport) int { return cmp.Compare(a.Status.GetEntry(), b.Status.GetEntry()) })
	return contacts
}

// LivePeers returns the last report of each live peer in ascending order of their ids.
func (g *Group) LivePeers() []*peer.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	var peers []*peer.Status
	for _, c := range g.known {
		if g.liveLocked(c) {
			peers = append(peers, c.status)
		}
	}
	slices.SortFunc(peers, func(a, b *peer.Status) int { return cmp.Compare(a.GetEntry(), b.GetEntry()) })
	return peers
}

// Addresses returns the addresses of all listed peers, live or not.
func (g *Group) Addresses() map[instance.ID]instance.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := make(map[instance.ID]instance.Address, len(g.known))
	for id, c := range g.known {
		addresses[id] = c.address
	}
	return addresses
}

// Address returns the address of a listed peer.
func (g *Group) Address(id instance.ID) (instance.Address, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.known[id]
	if !ok {
		return "", false
	}
	return c.address, true
}

// List returns the last list of the platform and when it was read.
func (g *Group) List() ([]upstream.Listing, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listed, g.listedAt
}

// Order returns the live entries by rendezvous hashing of the key, the first choice first.
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

// Owner returns the first choice for a key.
func (g *Group) Owner(key string) instance.ID {
	return g.Order(key)[0]
}

// Rank returns the position of this entry in the order for a key; 0 is the first choice. An entry that
// has just started ranks last, because it has not heard its peers yet and would take itself for the
// first choice of everything.
func (g *Group) Rank(key string) int {
	if last, ok := g.newcomer(); ok {
		return last
	}
	return slices.Index(g.Order(key), g.Self)
}

// newcomer reports whether this entry has listened to its peers for less than liveness, and the last
// rank among the listed entries.
func (g *Group) newcomer() (last int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.known), !g.started.IsZero() && g.Timer.Since(g.started) < liveness
}
