// Package tenure decides which process is the owner: the one that places tasks, orders moves and writes
// the ledger. A process becomes the owner by a conditional append to the platform's store, which exactly
// one process can win. The offset of that record is the fencing token of the tenure: the ledger and every
// worker refuse an owner whose token is lower.
package tenure

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// TTL is how long an owner goes on without a word from the store that it still is the owner. Together
	// with the leases of workers it spans the usual outages of the store, and it bounds how long a later
	// owner has to wait for workers that it cannot reach.
	TTL = 4 * time.Second
	// confirmPeriod is the time between looks at the claims.
	confirmPeriod = 250 * time.Millisecond
	// callTimeout bounds one call. The store answers in 4 ms; when it is slow, in about 0.4 s, and an append
	// waits for others besides.
	callTimeout = 1200 * time.Millisecond
	// reclaimDelay is how long a process that gave way leaves the ownership to its peers. They send a sign of
	// life each 350 ms and learn from the answer that they may replace it.
	reclaimDelay = 1500 * time.Millisecond
	// topic holds the claims under one key; the newest names the owner.
	topic platform.Topic = "keyed.owner"
	// part is the only partition of the claims.
	part = 0
	// claimKey is the key of all claims.
	claimKey = "owner"
)

// Store is the part of the platform's store that a Keeper uses.
type Store interface {
	AppendAt(ctx context.Context, topic platform.Topic, part int, at platform.Offset, record platform.Record) error
	Read(ctx context.Context, topic platform.Topic, part int, from platform.Offset, wait time.Duration) (platform.Batch, error)
	Newest(ctx context.Context, topic platform.Topic, part int) ([]platform.Record, platform.Offset, error)
}

// Member names one life of a process: its address for peers and its start.
type Member string

// NewMember returns the name of a process that started at the given time.
func NewMember(address instance.Address, start time.Time) Member {
	return Member(string(address) + "/" + start.UTC().Format("20060102T150405.000000"))
}

// Address returns the address for peers that the name holds.
func (m Member) Address() instance.Address {
	address, _, _ := strings.Cut(string(m), "/")
	return instance.Address(address)
}

// Change is what a Keeper tells about the ownership: Gained or Lost.
type Change interface{ change() }

// Departure says how the earlier owner ended its tenure.
type Departure string

// Departures of the earlier owner. After all but DepartureSilent it certainly gives no orders any more.
const (
	DepartureNone    Departure = "none"    // there was none, or it gave the ownership up when it stopped
	DepartureSelf    Departure = "self"    // it was this process
	DepartureEnded   Departure = "ended"   // its process has ended
	DepartureYielded Departure = "yielded" // it gave way and lives on
	DepartureSilent  Departure = "silent"  // it gave no answer
)

// Gained says that this process is the owner now.
type Gained struct {
	Epoch   platform.Epoch
	Earlier Departure
	// Part is the partition that holds the ledger.
	Part int
}

// Lost says that this process is no longer the owner.
type Lost struct {
	Reason string
	// yields is set if the ownership is left to the peers.
	yields bool
}

func (Gained) change() {}
func (Lost) change()   {}

// claim is a record that names an owner and the partition of its ledger; an empty member gives the ownership
// up.
type claim struct {
	member Member
	part   int
	offset platform.Offset
}

// partMark separates the member from the partition in the stored form of a claim.
const partMark = "#"

// record returns the stored form of the claim.
func (c claim) record() platform.Record {
	return platform.Record{Key: claimKey, Value: []byte(string(c.member) + partMark + strconv.Itoa(c.part))}
}

// parseClaim reads the stored form of a claim. One without a partition means the first.
func parseClaim(r platform.Record) (claim, error) {
	member, part, found := strings.Cut(string(r.Value), partMark)
	c := claim{member: Member(member), offset: r.Offset}
	if !found {
		return c, nil
	}
	number, err := strconv.Atoi(part)
	if err != nil {
		return claim{}, &platform.FormatError{Subject: "claim", Cause: err}
	}
	c.part = number
	return c, nil
}

// epoch returns the token of the claim. Tokens start at 1, because workers take a missing one for 0.
func (c claim) epoch() platform.Epoch { return platform.Epoch(c.offset) + 1 }

// Keeper follows the claims for this process. Fields are set before Run.
type Keeper struct {
	Store  Store
	Member Member
	Clock  *timer.Service
	Log    event.Log
	// Changed is called for each change of the ownership, in order and not concurrently.
	Changed func(Change)

	// claiming serializes claims, step changes of the ownership.
	claiming, step sync.Mutex

	mu sync.Mutex
	// epoch is the token of the tenure of this process; zero while it is not the owner.
	epoch platform.Epoch
	// part is the partition of the ledger in this tenure, end the offset after the last claim of this process.
	part int
	end  platform.Offset
	// last is the token of the last tenure of this process. A later one has a higher token.
	last platform.Epoch
	// confirmed is when the last look was sent that the store has answered.
	confirmed time.Time
	owner     Member
	// vacant is when this process found that there is no owner; zero while there is one.
	vacant time.Time
	// handicap is how long this process leaves a vacant ownership to others.
	handicap time.Duration
	// yielded is when this process gave way to its peers; zero once a later claim is known.
	yielded time.Time
	// closed is set once this process takes no more part.
	closed bool
}

// Handicap returns how long this process leaves a vacant ownership to others.
func (k *Keeper) Handicap() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.handicap
}

// SetHandicap sets how long this process leaves a vacant ownership to others. Processes on larger
// instances have a lower one.
func (k *Keeper) SetHandicap(handicap time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handicap = handicap
}

// Yielded reports whether this process has given way and knows of no later owner. Any peer may then replace
// it, not only the one whose sign of life it answered: that answer may be lost or late.
func (k *Keeper) Yielded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.yielded.IsZero()
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
	if k.epoch == 0 && owner != k.Member {
		k.owner = owner
		k.vacant, k.yielded = time.Time{}, time.Time{}
	}
}

// Forget drops an owner that is not the owner any more, so that the store is asked again.
func (k *Keeper) Forget(owner Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owner == owner && k.epoch == 0 {
		k.owner = ""
	}
}

// Silence returns for how long the store has not answered.
func (k *Keeper) Silence() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.confirmed.IsZero() {
		return TTL
	}
	return k.Clock.Since(k.confirmed)
}

// Run follows the claims until ctx ends, and then gives the ownership up.
func (k *Keeper) Run(ctx context.Context) {
	for {
		k.follow(ctx)
		if k.Clock.Sleep(ctx, confirmPeriod) != nil {
			break
		}
	}
	k.mu.Lock()
	k.closed = true
	epoch := k.epoch
	k.mu.Unlock()
	if epoch == 0 {
		return
	}
	k.apply(Lost{Reason: "stopping"})
	call, cancel := k.Clock.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	k.mu.Lock()
	end, given := k.end, claim{part: k.part}
	k.mu.Unlock()
	err := k.Store.AppendAt(call, topic, part, end, given.record())
	if err != nil {
		k.Log.Warn(eventLeave, "epoch", epoch, "error", err)
	}
}

// follow looks at the claims once. A process that knows another owner relies on the owner's answers to
// its signs of life instead.
func (k *Keeper) follow(ctx context.Context) {
	k.mu.Lock()
	epoch, owner := k.epoch, k.owner
	k.mu.Unlock()
	switch {
	case epoch != 0:
		k.confirm(ctx)
	case owner == "":
		k.claim(ctx, takeover{})
	}
}

// confirm checks that no later claim was made than that of this tenure.
func (k *Keeper) confirm(ctx context.Context) {
	call, cancel := k.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := k.Clock.Now()
	k.mu.Lock()
	end := k.end
	k.mu.Unlock()
	batch, err := k.Store.Read(call, topic, part, end, 0)
	if err == nil && k.own(batch, end) {
		k.Confirm(sent)
		return
	}
	if _, expired := platform.FirstKeptOffset(err); expired || err == nil {
		k.apply(Lost{Reason: "another process has claimed the ownership"})
		return
	}
	if ctx.Err() == nil {
		k.Log.Debug(eventClaims, "error", err)
	}
	if k.Silence() > TTL {
		k.apply(Lost{Reason: "the store does not answer"})
	}
}

// own reports whether all claims from an offset on are of this process; it makes them when its ledger moves.
func (k *Keeper) own(batch platform.Batch, from platform.Offset) bool {
	if batch.EndOffset > from+platform.Offset(len(batch.Records)) {
		return false
	}
	for _, r := range batch.Records {
		if c, err := parseClaim(r); err != nil || c.member != k.Member {
			return false
		}
	}
	return true
}

// Confirm notes that no later owner had begun its work when a call was sent that the store has answered.
func (k *Keeper) Confirm(sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if sent.After(k.confirmed) {
		k.confirmed = sent
	}
}

// takeover is an attempt to become the owner. The zero value replaces nobody.
type takeover struct {
	// instead is the member whose claim may be replaced, earlier how it departed.
	instead Member
	earlier Departure
}

// claim makes this process the owner unless a claim of another member stands.
func (k *Keeper) claim(ctx context.Context, t takeover) {
	k.claiming.Lock()
	defer k.claiming.Unlock()
	k.mu.Lock()
	held := k.epoch != 0
	k.mu.Unlock()
	if held {
		return // a claim of another goroutine of this process has won meanwhile
	}
	sent := k.Clock.Now()
	newest, end, err := k.newest(ctx)
	if err != nil {
		if ctx.Err() == nil {
			k.Log.Debug(eventClaims, "error", err)
		}
		return
	}
	k.Confirm(sent)
	if newest.member != "" && newest.member != k.Member && newest.member != t.instead {
		k.Learn(newest.member)
		return
	}
	k.append(ctx, t, newest, end)
}

// append claims the ownership after the newest claim.
func (k *Keeper) append(ctx context.Context, t takeover, newest claim, end platform.Offset) {
	k.mu.Lock()
	closed, last := k.closed, k.last
	if k.vacant.IsZero() {
		k.vacant = k.Clock.Now()
	}
	early := k.Clock.Since(k.vacant) < k.handicap || !k.yielded.IsZero() && k.Clock.Since(k.yielded) < reclaimDelay
	k.mu.Unlock()
	if closed || early && t.instead == "" {
		return
	}
	if newest.member == k.Member && newest.epoch() > last {
		// A claim whose answer was lost, or the last move of the ledger in an earlier tenure.
		k.gain(newest, DepartureSilent)
		return
	}
	earlier := t.earlier
	switch newest.member {
	case "":
		earlier = DepartureNone
	case k.Member:
		earlier = DepartureSelf
	}
	mine := claim{member: k.Member, part: newest.part, offset: end}
	call, cancel := k.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.Store.AppendAt(call, topic, part, end, mine.record())
	k.Log.Info(eventClaim, "epoch", mine.epoch(), "instead", newest.member, "earlier", earlier, "error", err)
	if err == nil {
		k.gain(mine, earlier)
	}
}

func (k *Keeper) gain(c claim, earlier Departure) {
	k.mu.Lock()
	k.end, k.part = c.offset+1, c.part
	k.mu.Unlock()
	k.apply(Gained{Epoch: c.epoch(), Earlier: earlier, Part: c.part})
}

// Reach reports whether this process reaches the claims, which are what an owner that cannot reach the
// store would have to hand over.
func (k *Keeper) Reach(ctx context.Context) bool {
	_, _, err := k.newest(ctx)
	return err == nil
}

// newest returns the newest claim and the offset after the last one.
func (k *Keeper) newest(ctx context.Context) (claim, platform.Offset, error) {
	call, cancel := k.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, end, err := k.Store.Newest(call, topic, part)
	if err != nil {
		return claim{}, 0, err
	}
	var c claim
	for _, r := range records {
		if r.Key != claimKey {
			continue
		}
		if c, err = parseClaim(r); err != nil {
			return claim{}, 0, err
		}
	}
	return c, end, nil
}

// Replace makes this process the owner in place of a member that has departed.
func (k *Keeper) Replace(ctx context.Context, member Member, earlier Departure) {
	k.Forget(member)
	k.claim(ctx, takeover{instead: member, earlier: earlier})
}

// Resign gives the ownership up. A peer is to claim it.
func (k *Keeper) Resign(reason string) { k.apply(Lost{Reason: reason, yields: true}) }

// apply carries a change of the ownership out.
func (k *Keeper) apply(c Change) {
	k.step.Lock()
	defer k.step.Unlock()
	k.mu.Lock()
	switch c := c.(type) {
	case Gained:
		if k.closed || c.Epoch <= k.last {
			k.mu.Unlock()
			return
		}
		k.epoch, k.last = c.Epoch, c.Epoch
		k.owner = k.Member
		k.vacant, k.yielded = time.Time{}, time.Time{}
	case Lost:
		if k.epoch == 0 {
			k.mu.Unlock()
			return
		}
		k.epoch = 0
		k.owner = ""
		if c.yields {
			k.yielded = k.Clock.Now()
		}
	}
	k.mu.Unlock()
	k.Changed(c)
}
