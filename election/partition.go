package election

import (
	"context"
	"errors"
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
)

// moveDelay is the pause before the claim of a moved ledger is repeated.
const moveDelay = 100 * time.Millisecond

// PublishPartition names another partition of the ledger. Its claim is repeated until the store has answered it, since
// a later owner goes by the newest one; an error says that the tenure is over.
func (k *Elector) PublishPartition(ctx context.Context, epoch platform.Epoch, to int) error {
	k.mu.Lock()
	mine := claim{member: k.Member, part: to, offset: k.end}
	k.mu.Unlock()
	for {
		err := k.rename(ctx, mine)
		if err == nil {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.epoch != epoch {
				return &TermEndedError{Epoch: epoch}
			}
			k.part, k.end = to, mine.offset+1
			return nil
		}
		k.Log.Info(eventMove, "part", to, "epoch", epoch, "error", err)
		var over *TermEndedError
		if errors.As(err, &over) {
			k.apply(Lost{Reason: "another process has claimed the ownership"})
			return over
		}
		if k.StoreSilence() > ConfirmTimeout {
			k.apply(Lost{Reason: "the store does not answer"})
			return &TermEndedError{Epoch: epoch}
		}
		if err := k.Clock.Sleep(ctx, moveDelay); err != nil {
			return err
		}
	}
}

// rename appends a claim once. If the store refuses it, an earlier try may have been stored.
func (k *Elector) rename(ctx context.Context, mine claim) error {
	call, cancel := k.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	refusal := k.Store.AppendAt(call, topic, part, mine.offset, mine.record())
	if !platform.IsRefused(refusal) {
		return refusal
	}
	newest, _, err := k.newest(ctx)
	switch {
	case err != nil:
		return err
	case newest.offset < mine.offset:
		return refusal
	case newest != mine:
		return &TermEndedError{Epoch: mine.epoch()}
	}
	return nil
}
