package election

import (
	"context"
	"errors"
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
)

// publishRetryDelay is the pause before a failed publication of the ledger's partition is retried.
const publishRetryDelay = 100 * time.Millisecond

// PublishPartition appends a claim that names a new partition of the ledger. It retries until the store has
// confirmed the claim, since the next owner uses the partition of the newest claim, or until ctx ends. It also
// returns nil if the term has ended meanwhile but the claim is stored, since later owners then use the new
// partition: a process that stops gives up its term before its last writes are stored. After an error the claim
// may still be stored, also after a TermEndedError, which reports that the term has ended.
func (e *Elector) PublishPartition(ctx context.Context, epoch platform.Epoch, partition int) error {
	e.mu.Lock()
	next := claim{member: e.Member, partition: partition, offset: e.nextOffset}
	hasLaterTerm := e.lastEpoch != epoch
	e.mu.Unlock()
	if hasLaterTerm {
		return &TermEndedError{Epoch: epoch}
	}
	for {
		err := e.tryPublish(ctx, next)
		if err == nil {
			return e.recordPartition(epoch, next)
		}
		e.Log.Info(eventPublishRetried, "part", partition, "epoch", epoch, "error", err)
		var ended *TermEndedError
		if errors.As(err, &ended) {
			e.applyChange(Lost{Reason: "another process has claimed ownership", epoch: epoch})
			return ended
		}
		if e.StoreSilence() > ConfirmTimeout {
			e.applyChange(Lost{Reason: "the store does not answer", epoch: epoch})
			return &TermEndedError{Epoch: epoch}
		}
		if err := e.Clock.Sleep(ctx, publishRetryDelay); err != nil {
			return err
		}
	}
}

// recordPartition records a stored claim that names a new partition. It returns a TermEndedError if this process has
// begun a later term, which reads the partition from the claims itself.
func (e *Elector) recordPartition(epoch platform.Epoch, stored claim) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastEpoch != epoch {
		return &TermEndedError{Epoch: epoch}
	}
	e.partition, e.nextOffset = stored.partition, stored.offset+1
	return nil
}

// tryPublish appends a claim once. If the store rejects it, tryPublish checks whether an earlier attempt is
// already stored.
func (e *Elector) tryPublish(ctx context.Context, next claim) error {
	callCtx, cancel := e.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	appendErr := e.Store.AppendAt(callCtx, claimsTopic, claimsPartition, next.offset, next.toRecord())
	if !platform.IsRefused(appendErr) {
		return appendErr
	}
	newest, _, err := e.newestClaim(ctx)
	switch {
	case err != nil:
		return err
	case newest.offset < next.offset:
		return appendErr
	case newest != next:
		return &TermEndedError{Epoch: next.epoch()}
	}
	return nil
}
