// Package tenure decides which process is the owner: the one that places tasks, orders moves and writes
// the ledger. The platform's group membership gives the ownership, the fencing token that comes with it
// is enforced by the ledger and by every worker.
package tenure

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// TTL is how long the store keeps a silent member. It exceeds the usual outages of the store, so that an
	// owner keeps its workers through them; members that have ended are removed by their peers.
	TTL = 8 * time.Second
	// Margin is how long before the end of TTL an owner stops on its own account.
	Margin = time.Second
	// joinPeriod is the time between signs of life. It bounds how late a new owner learns that it is one.
	joinPeriod = 250 * time.Millisecond
	// callTimeout bounds one call. The store answers in 4 ms, and in about 0.4 s when it is slow.
	callTimeout = 800 * time.Millisecond
	// ownersPeriod is the time between looks at the group while the owner is unknown.
	ownersPeriod = 300 * time.Millisecond
)

// group is the group whose member with ledger.Part is the owner.
var group = platform.Group{Name: "owner", Topic: ledger.TopicJobs, TTL: TTL}

// Store is the part of the platform's store that membership uses.
type Store interface {
	Join(ctx context.Context, group platform.Group, member string, generation platform.Generation) (platform.Share, error)
	Leave(ctx context.Context, group platform.Group, member string) error
	Owners(ctx context.Context, group platform.Group) (map[int]string, error)
}

// Member names a process in the group: its address for peers and the start of its life.
type Member string

// NewMember returns the name of a process that started at the given time.
func NewMember(address instance.Address, start time.Time) Member {
	return Member(string(address) + "/" + start.UTC().Format("150405.000000"))
}

// Address returns the address for peers that the name holds.
func (m Member) Address() instance.Address {
	address, _, _ := strings.Cut(string(m), "/")
	return instance.Address(address)
}

// Change is what a Keeper tells about the ownership: Gained or Lost.
type Change interface{ change() }

// Gained says that this process is the owner now.
type Gained struct{ Epoch platform.Generation }

// Lost says that this process is no longer the owner.
type Lost struct{ Reason string }

func (Gained) change() {}
func (Lost) change()   {}

// Keeper keeps the membership of this process. Fields are set before Run.
type Keeper struct {
	Store  Store
	Member Member
	Clock  *timer.Service
	Log    event.Log
	// Changed is called for each change of the ownership, in order and not concurrently.
	Changed func(Change)

	mu         sync.Mutex
	generation platform.Generation
	// epoch is the generation with which the ownership was gained; zero while not owner.
	epoch platform.Generation
	// last is the epoch of the last tenure of this process. A later one needs a higher epoch.
	last platform.Generation
	// alive is when the last sign of life that the store confirmed was sent.
	alive time.Time
	owner Member
	// members are all members of the group, as the store told last.
	members []Member
}

// Owner returns the member that this process believes to be the owner; empty if it knows none.
func (k *Keeper) Owner() Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner
}

// Learn records an owner that a peer has named.
func (k *Keeper) Learn(owner Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.epoch == 0 {
		k.owner = owner
	}
}

// Reaches returns how long ago the store confirmed a sign of life.
func (k *Keeper) Reaches() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.alive.IsZero() {
		return TTL
	}
	return k.Clock.Since(k.alive)
}

// Run keeps the membership until ctx ends, and then leaves the group.
func (k *Keeper) Run(ctx context.Context) {
	var looked time.Time
	for {
		k.join(ctx)
		if k.Owner() == "" && k.Clock.Since(looked) >= ownersPeriod {
			looked = k.Clock.Now()
			k.look(ctx)
		}
		if k.Clock.Sleep(ctx, joinPeriod) != nil {
			break
		}
	}
	k.step(Lost{Reason: "stopping"})
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := k.Store.Leave(call, group, string(k.Member)); err != nil {
		k.Log.Warn(eventLeave, "member", k.Member, "error", err)
	}
}

func (k *Keeper) join(ctx context.Context) {
	k.mu.Lock()
	generation := k.generation
	k.mu.Unlock()
	call, cancel := k.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := k.Clock.Now()
	share, err := k.Store.Join(call, group, string(k.Member), generation)
	if err != nil {
		if ctx.Err() == nil {
			k.Log.Debug(eventJoin, "member", k.Member, "error", err)
		}
		k.expire()
		return
	}
	k.mu.Lock()
	k.alive = sent
	k.generation = share.Generation
	held := k.epoch != 0
	holds := slices.Contains(share.Parts, ledger.Part)
	spent := share.Generation <= k.last
	k.mu.Unlock()
	switch {
	case holds && !held && spent:
		k.renew(ctx)
	case holds && !held:
		k.step(Gained{Epoch: share.Generation})
	case !holds && held:
		k.step(Lost{Reason: "reassigned"})
	}
}

// renew leaves the group, so that the next join yields a generation that no tenure of this process had.
func (k *Keeper) renew(ctx context.Context) {
	call, cancel := k.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.Store.Leave(call, group, string(k.Member)); err != nil {
		k.Log.Debug(eventLeave, "member", k.Member, "error", err)
		return
	}
	k.mu.Lock()
	k.generation = 0
	k.mu.Unlock()
}

// expire gives the ownership up once the store may have given it to another.
func (k *Keeper) expire() {
	k.mu.Lock()
	late := k.epoch != 0 && k.Clock.Since(k.alive) > TTL-Margin
	k.mu.Unlock()
	if late {
		k.step(Lost{Reason: "store does not answer"})
	}
}

// step applies a change of the ownership.
func (k *Keeper) step(c Change) {
	k.mu.Lock()
	switch c := c.(type) {
	case Gained:
		k.epoch, k.last = c.Epoch, c.Epoch
		k.owner = k.Member
	case Lost:
		if k.epoch == 0 {
			k.mu.Unlock()
			return
		}
		k.epoch = 0
		k.owner = ""
	}
	k.mu.Unlock()
	k.Changed(c)
}

// look asks the store for the owner.
func (k *Keeper) look(ctx context.Context) {
	call, cancel := k.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	owners, err := k.Store.Owners(call, group)
	if err != nil {
		if ctx.Err() == nil {
			k.Log.Debug(eventOwners, "error", err)
		}
		return
	}
	members := map[Member]bool{}
	for _, m := range owners {
		members[Member(m)] = true
	}
	k.mu.Lock()
	k.members = slices.Collect(maps.Keys(members))
	k.mu.Unlock()
	if owner := Member(owners[ledger.Part]); owner != k.Member {
		k.Learn(owner)
	}
}

// Members asks the store for the members of the group and returns them, or those known last.
func (k *Keeper) Members(ctx context.Context) []Member {
	k.look(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.members
}

// Forget drops an owner that does not answer, so that the store is asked again.
func (k *Keeper) Forget(owner Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owner == owner && k.epoch == 0 {
		k.owner = ""
	}
}

// Remove takes a member out of the group that has ended or asked for it.
func (k *Keeper) Remove(ctx context.Context, member Member, reason string) {
	call, cancel := k.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.Store.Leave(call, group, string(member))
	k.Log.Info(eventRemove, "member", member, "reason", reason, "error", err)
	k.Forget(member)
}

// Resign gives the ownership up at once. A peer removes this process from the group.
func (k *Keeper) Resign(reason string) { k.step(Lost{Reason: reason}) }
