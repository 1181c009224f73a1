// Package election elects the owner among the processes of "hibiscuslane run": the process that places tasks,
// orders moves and writes the ledger. A process becomes the owner by a conditional append to the platform's store,
// which exactly one process can win. The offset of that record plus 1 is the fencing token of the term: the ledger
// and every worker reject an owner with a lower token. Elector takes part in the election, and Detector detects
// that the owner has failed. "hibiscuslane serve" elects no such owner; package member ranks its entries.
package election

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
	// ConfirmTimeout is how long an owner continues without confirmation from the store that it still is the
	// owner. Together with the leases of workers it outlasts the usual outages of the store. It also bounds
	// how long the next owner has to wait for workers that it cannot reach.
	ConfirmTimeout = 4 * time.Second
	// confirmPeriod is the interval between reads of the claims.
	confirmPeriod = 250 * time.Millisecond
	// callTimeout bounds one call to the store. The store answers in 4 ms, or in about 0.4 s when it is slow, and an
	// append may also wait for other appends.
	callTimeout = 1200 * time.Millisecond
	// reclaimDelay is how long a process that has resigned leaves ownership to its peers. They send a
	// heartbeat every 350 ms and learn from the response that they may replace it.
	reclaimDelay = 1500 * time.Millisecond
	// claimsTopic holds the claims under one key; the newest claim names the owner.
	claimsTopic platform.Topic = "keyed.owner"
	// claimsPartition is the only partition of the claims.
	claimsPartition = 0
	// claimKey is the key of all claims.
	claimKey = "owner"
)

// Store is the part of the platform's store that an Elector uses.
type Store interface {
	AppendAt(ctx context.Context, topic platform.Topic, partition int, at platform.Offset, record platform.Record) error
	Read(ctx context.Context, topic platform.Topic, partition int, from platform.Offset, wait time.Duration) (platform.Batch, error)
	Newest(ctx context.Context, topic platform.Topic, partition int) ([]platform.Record, platform.Offset, error)
}

// Member identifies one incarnation of a process by its address for peers and its start time.
type Member string

// NewMember returns the identifier of a process that started at the given time.
func NewMember(address instance.Address, start time.Time) Member {
	return Member(string(address) + "/" + start.UTC().Format("20060102T150405.000000"))
}

// Address returns the address for peers.
func (m Member) Address() instance.Address {
	address, _, _ := strings.Cut(string(m), "/")
	return instance.Address(address)
}

// Change is a change of ownership: Gained or Lost.
type Change interface{ isChange() }

// Departure describes how the term of the previous owner ended.
type Departure string

// Ways in which the previous term ended. Except after DepartureUnknown, the previous owner certainly sends no
// more orders.
const (
	DepartureNone        Departure = "none"    // there was no owner, or it gave up ownership when it stopped
	DepartureSameProcess Departure = "self"    // the owner was this process
	DepartureExited      Departure = "ended"   // its process has ended
	DepartureResigned    Departure = "yielded" // it resigned and is still running
	DepartureUnknown     Departure = "silent"  // it did not respond and may still be running
)

// Gained reports that this process is now the owner.
type Gained struct {
	Epoch     platform.Epoch
	Departure Departure
	// Partition is the partition that holds the ledger.
	Partition int
}

// Lost reports that this process is no longer the owner.
type Lost struct {
	Reason string
	// resigned is set if this process gives up ownership in favour of a peer. It then claims ownership again only
	// after reclaimDelay.
	resigned bool
	// epoch is that of the term that ends; zero for the current one.
	epoch platform.Epoch
}

func (Gained) isChange() {}
func (Lost) isChange()   {}

// claim is a record that names an owner and the partition of its ledger. An empty member gives up ownership.
type claim struct {
	member    Member
	partition int
	offset    platform.Offset
}

// partitionSeparator separates the member from the partition in a stored claim.
const partitionSeparator = "#"

// toRecord returns the stored form of the claim.
func (c claim) toRecord() platform.Record {
	return platform.Record{Key: claimKey, Value: []byte(string(c.member) + partitionSeparator + strconv.Itoa(c.partition))}
}

// parseClaim parses a stored claim. A claim without a partition refers to the first one.
func parseClaim(r platform.Record) (claim, error) {
	member, text, found := strings.Cut(string(r.Value), partitionSeparator)
	c := claim{member: Member(member), offset: r.Offset}
	if !found {
		return c, nil
	}
	partition, err := strconv.Atoi(text)
	if err != nil {
		return claim{}, &platform.FormatError{Subject: "claim", Cause: err}
	}
	c.partition = partition
	return c, nil
}

// epoch returns the fencing token of the claim. Tokens start at 1 because workers read a missing token as 0.
func (c claim) epoch() platform.Epoch { return platform.Epoch(c.offset) + 1 }

// Elector takes part in the election on behalf of this process. The exported fields are set before Run.
type Elector struct {
	Store  Store
	Member Member
	Clock  *timer.Service
	Log    event.Log
	// OnChange is called for each change of ownership, in order and never concurrently.
	OnChange func(Change)

	// claimMu serializes claims, changeMu serializes changes of ownership.
	claimMu, changeMu sync.Mutex

	mu sync.Mutex
	// epoch is the fencing token of the current term of this process; zero while it is not the owner.
	epoch platform.Epoch
	// partition is the ledger's partition in this term. nextOffset is the offset after the last claim of this
	// process.
	partition  int
	nextOffset platform.Offset
	// lastEpoch is the fencing token of this process's last term. A later term has a higher token.
	lastEpoch platform.Epoch
	// confirmedAt is when the last call was sent that the store has answered.
	confirmedAt time.Time
	// suspended is the value of Clock.Suspended at its last change, and resumedAt is when that was noticed.
	suspended time.Duration
	resumedAt time.Time
	owner     Member
	// vacantSince is when this process found that there is no owner; zero while it knows of one.
	vacantSince time.Time
	// candidacyDelay is how long this process waits before it claims a vacant ownership.
	candidacyDelay time.Duration
	// resignedAt is when this process resigned; zero once a later owner is known.
	resignedAt time.Time
	// closed is set once this process no longer takes part in elections.
	closed bool
	// successorSoughtAt is when FindSuccessor last read the claims.
	successorSoughtAt time.Time
	// nextConfirmation is the confirmation that callers of Confirm await whose read is not sent yet; nil if there is none.
	// isConfirming is set while confirmations are made.
	nextConfirmation *confirmation
	isConfirming     bool
}

// CandidacyDelay returns how long this process waits before it claims a vacant ownership.
func (e *Elector) CandidacyDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.candidacyDelay
}

// SetCandidacyDelay sets how long this process waits before it claims a vacant ownership. Processes on larger
// instances wait less.
func (e *Elector) SetCandidacyDelay(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.candidacyDelay = delay
}

// HasResigned reports whether this process has resigned and knows of no later owner. Any peer may then
// replace it, not only the one whose heartbeat it answered, since that response may be lost or late.
func (e *Elector) HasResigned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.resignedAt.IsZero()
}

// Owner returns the member that this process believes to be the owner; empty if it knows none.
func (e *Elector) Owner() Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner
}

// RecordOwner records the owner that a peer or the store has named. It has no effect while this process is the
// owner.
func (e *Elector) RecordOwner(owner Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch == 0 && owner != e.Member {
		e.owner = owner
		e.vacantSince, e.resignedAt = time.Time{}, time.Time{}
	}
}

// ForgetOwner discards an owner that no longer holds ownership, so that the store is asked again.
func (e *Elector) ForgetOwner(owner Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owner == owner && e.epoch == 0 {
		e.owner = ""
	}
}

// StoreSilence returns the time since the last call was sent that the store has answered; ConfirmTimeout if
// there was none.
func (e *Elector) StoreSilence() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noticeSuspension()
	if e.confirmedAt.IsZero() {
		return ConfirmTimeout
	}
	return e.Clock.Since(e.confirmedAt)
}

// IsConfirmed reports whether the store has answered a call that was sent less than ConfirmTimeout ago. A later owner
// waits for that long before it counts on the end of this process's term, so that an owner whose term is not confirmed
// must not give orders. After a pause of the process this is known before the loss of the term is.
func (e *Elector) IsConfirmed() bool { return e.StoreSilence() < ConfirmTimeout }

// Run takes part in elections until ctx ends, and then gives up ownership.
func (e *Elector) Run(ctx context.Context) {
	for {
		e.checkOwnership(ctx)
		if e.Clock.Sleep(ctx, confirmPeriod) != nil {
			break
		}
	}
	e.mu.Lock()
	e.closed = true
	epoch := e.epoch
	e.mu.Unlock()
	if epoch == 0 {
		return
	}
	e.applyChange(Lost{Reason: "stopping"})
	callCtx, cancel := e.Clock.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	e.mu.Lock()
	offset, release := e.nextOffset, claim{partition: e.partition}
	e.mu.Unlock()
	err := e.Store.AppendAt(callCtx, claimsTopic, claimsPartition, offset, release.toRecord())
	if err != nil {
		e.Log.Warn(eventReleaseFailed, "epoch", epoch, "error", err)
	}
}

// checkOwnership reads the claims once if this process is the owner or knows of none. A process that knows
// another owner relies on the responses to its heartbeats instead.
func (e *Elector) checkOwnership(ctx context.Context) {
	e.mu.Lock()
	epoch, owner := e.epoch, e.owner
	e.mu.Unlock()
	switch {
	case epoch != 0:
		_ = e.confirmTerm(ctx) // it logs the error and ends the term if it must
	case owner == "":
		e.tryClaim(ctx, takeover{})
	}
}

// confirmTerm ends the current term if another process has claimed ownership since it began, or if the store has
// not answered for ConfirmTimeout. It returns nil if the store has shown that no other process has.
func (e *Elector) confirmTerm(ctx context.Context) error {
	callCtx, cancel := e.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := e.Clock.Now()
	e.mu.Lock()
	nextOffset, epoch := e.nextOffset, e.lastEpoch
	e.mu.Unlock()
	batch, err := e.Store.Read(callCtx, claimsTopic, claimsPartition, nextOffset, 0)
	if err == nil && e.areOwnClaims(batch, nextOffset) {
		e.RecordConfirmation(sent)
		return nil
	}
	if _, expired := platform.FirstKeptOffset(err); expired || err == nil {
		e.applyChange(Lost{Reason: "another process has claimed ownership", epoch: epoch})
		return &TermEndedError{Epoch: epoch}
	}
	if ctx.Err() == nil {
		e.Log.Debug(eventClaimsUnreadable, "error", err)
	}
	if e.StoreSilence() > ConfirmTimeout {
		e.applyChange(Lost{Reason: "the store does not answer", epoch: epoch})
	}
	return err
}

// areOwnClaims reports whether all claims from an offset on belong to this process, which appends claims when
// its ledger moves. It returns false if the batch lacks some of them, since another process may have appended
// those.
func (e *Elector) areOwnClaims(batch platform.Batch, from platform.Offset) bool {
	if batch.EndOffset > from+platform.Offset(len(batch.Records)) {
		return false
	}
	for _, r := range batch.Records {
		if c, err := parseClaim(r); err != nil || c.member != e.Member {
			return false
		}
	}
	return true
}

// RecordConfirmation records that the store has answered a call which was sent at the given time. For an
// owner, the response shows that no later owner had started working by then.
func (e *Elector) RecordConfirmation(sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noticeSuspension()
	if sent.After(e.confirmedAt) && !sent.Before(e.resumedAt) {
		e.confirmedAt = sent
	}
}

// noticeSuspension adds the time during which the machine was suspended to the time since the last confirmation. Calls that
// were sent before that time confirm nothing, since it is not known how long ago that was.
func (e *Elector) noticeSuspension() {
	total := e.Clock.Suspended()
	if total <= e.suspended {
		return
	}
	if !e.confirmedAt.IsZero() {
		e.confirmedAt = e.confirmedAt.Add(e.suspended - total)
	}
	e.suspended, e.resumedAt = total, e.Clock.Now()
}

// takeover is an attempt to become the owner. The zero value replaces nobody.
type takeover struct {
	// replaces is the member whose claim may be replaced, and departure is how its term ended.
	replaces  Member
	departure Departure
}

// tryClaim claims ownership unless a claim of another member is in force that t does not replace.
func (e *Elector) tryClaim(ctx context.Context, t takeover) {
	e.claimMu.Lock()
	defer e.claimMu.Unlock()
	e.mu.Lock()
	isOwner := e.epoch != 0
	e.mu.Unlock()
	if isOwner {
		return // another goroutine of this process has won the election meanwhile
	}
	sent := e.Clock.Now()
	newest, end, err := e.newestClaim(ctx)
	if err != nil {
		if ctx.Err() == nil {
			e.Log.Debug(eventClaimsUnreadable, "error", err)
		}
		return
	}
	e.RecordConfirmation(sent)
	if newest.member != "" && newest.member != e.Member && newest.member != t.replaces {
		e.RecordOwner(newest.member)
		return
	}
	e.appendClaim(ctx, t, newest, end)
}

// appendClaim appends a claim after the newest one and begins a term. It does nothing after the end of Run and,
// unless t replaces a member, during the candidacy delay and for reclaimDelay after this process has resigned.
func (e *Elector) appendClaim(ctx context.Context, t takeover, newest claim, end platform.Offset) {
	e.mu.Lock()
	closed, lastEpoch := e.closed, e.lastEpoch
	if e.vacantSince.IsZero() {
		e.vacantSince = e.Clock.Now()
	}
	mustWait := e.Clock.Since(e.vacantSince) < e.candidacyDelay || !e.resignedAt.IsZero() && e.Clock.Since(e.resignedAt) < reclaimDelay
	e.mu.Unlock()
	if closed || mustWait && t.replaces == "" {
		return
	}
	if newest.member == e.Member && newest.epoch() > lastEpoch {
		// This is a claim whose response was lost, or the last move of the ledger in an earlier term.
		e.beginTerm(newest, DepartureUnknown)
		return
	}
	departure := t.departure
	switch newest.member {
	case "":
		departure = DepartureNone
	case e.Member:
		departure = DepartureSameProcess
	}
	next := claim{member: e.Member, partition: newest.partition, offset: end}
	callCtx, cancel := e.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.Store.AppendAt(callCtx, claimsTopic, claimsPartition, end, next.toRecord())
	e.Log.Info(eventClaimed, "epoch", next.epoch(), "instead", newest.member, "earlier", departure, "error", err)
	if err == nil {
		e.beginTerm(next, departure)
	}
}

// beginTerm begins a term with a stored claim of this process.
func (e *Elector) beginTerm(c claim, departure Departure) {
	e.mu.Lock()
	e.nextOffset, e.partition = c.offset+1, c.partition
	e.mu.Unlock()
	e.applyChange(Gained{Epoch: c.epoch(), Departure: departure, Partition: c.partition})
}

// CanReachStore reports whether this process can read the claims. An owner that cannot reach the store
// resigns in favour of a process that can.
func (e *Elector) CanReachStore(ctx context.Context) bool {
	_, _, err := e.newestClaim(ctx)
	return err == nil
}

// successorInterval is the minimum time between two reads of FindSuccessor. Owners read the claims as often.
const successorInterval = 250 * time.Millisecond

// FindSuccessor reads the claims if the owner that this process knows is the given member, which does not answer, and records the
// owner that they name. Members that don't take part in replacing an owner would otherwise learn of the next one late. It does
// not make this process a candidate.
func (e *Elector) FindSuccessor(ctx context.Context, silent Member) {
	now := e.Clock.Now()
	e.mu.Lock()
	isDue := e.owner == silent && e.epoch == 0 && now.Sub(e.successorSoughtAt) >= successorInterval
	if isDue {
		e.successorSoughtAt = now
	}
	e.mu.Unlock()
	if !isDue {
		return
	}
	c, _, err := e.newestClaim(ctx)
	if err != nil {
		e.Log.Debug(eventSuccessorUnknown, "owner", silent, "error", err)
		return
	}
	if c.member != "" && c.member != silent {
		e.RecordOwner(c.member)
	}
}

// newestClaim returns the newest claim and the offset after the last claim.
func (e *Elector) newestClaim(ctx context.Context) (claim, platform.Offset, error) {
	callCtx, cancel := e.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, end, err := e.Store.Newest(callCtx, claimsTopic, claimsPartition)
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

// ReplaceOwner tries to make this process the owner in place of a member whose term has ended as departure
// says.
func (e *Elector) ReplaceOwner(ctx context.Context, member Member, departure Departure) {
	e.ForgetOwner(member)
	e.tryClaim(ctx, takeover{replaces: member, departure: departure})
}

// Resign gives up ownership so that a peer can claim it.
func (e *Elector) Resign(reason string) { e.applyChange(Lost{Reason: reason, resigned: true}) }

// applyChange records a change of ownership and reports it to OnChange. It ignores the loss of ownership or of a term that this
// process does not have, a term that is not newer than the last one, and any new term after the end of Run.
func (e *Elector) applyChange(c Change) {
	e.changeMu.Lock()
	defer e.changeMu.Unlock()
	e.mu.Lock()
	switch c := c.(type) {
	case Gained:
		if e.closed || c.Epoch <= e.lastEpoch {
			e.mu.Unlock()
			return
		}
		e.epoch, e.lastEpoch = c.Epoch, c.Epoch
		e.owner = e.Member
		e.vacantSince, e.resignedAt = time.Time{}, time.Time{}
	case Lost:
		if e.epoch == 0 || c.epoch != 0 && c.epoch != e.epoch {
			e.mu.Unlock()
			return
		}
		e.epoch = 0
		e.owner = ""
		if c.resigned {
			e.resignedAt = e.Clock.Now()
		}
	}
	e.mu.Unlock()
	e.OnChange(c)
}
