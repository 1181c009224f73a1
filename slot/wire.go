package slot

import (
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"hibiscuslane.example/hibiscuslane/pool"
)

// Keys of error metadata exchanged between entries. Durations are in microseconds.
const (
	metaKind  = "kind"
	metaPool  = "pool"
	metaWait  = "wait"
	metaLeft  = "left"
	metaLimit = "limit"
)

// Values of metaKind.
const (
	kindFull      = "full"
	kindDeadline  = "deadline"
	kindPool      = "pool"
	kindWithdrawn = "withdrawn"
)

// encodeError converts a typed refusal to a twirp error from which decodeError restores it.
func encodeError(err error) error {
	var (
		full        *QueueFullError
		deadline    *DeadlineError
		unavailable *PoolUnavailableError
		withdrawn   *WithdrawnError
	)
	switch {
	case errors.As(err, &full):
		return refusalError(twirp.ResourceExhausted, full.Error(), kindFull, full.Pool).
			WithMeta(metaWait, formatMicros(full.ExpectedWait)).WithMeta(metaLimit, strconv.Itoa(full.Limit))
	case errors.As(err, &deadline):
		return refusalError(twirp.FailedPrecondition, deadline.Error(), kindDeadline, deadline.Pool).
			WithMeta(metaWait, formatMicros(deadline.ExpectedWait)).WithMeta(metaLeft, formatMicros(deadline.TimeLeft))
	case errors.As(err, &unavailable):
		return refusalError(twirp.FailedPrecondition, unavailable.Reason, kindPool, unavailable.Pool)
	case errors.As(err, &withdrawn):
		return refusalError(twirp.Aborted, withdrawn.Error(), kindWithdrawn, withdrawn.Pool)
	}
	return twirp.InternalErrorWith(err)
}

func refusalError(code twirp.ErrorCode, text, kind string, name pool.Name) twirp.Error {
	return twirp.NewError(code, text).WithMeta(metaKind, kind).WithMeta(metaPool, string(name))
}

func formatMicros(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// decodeError returns the typed refusal that a twirp error contains, or nil if the call itself failed.
func decodeError(err error) error {
	var e twirp.Error
	if !errors.As(err, &e) {
		return nil
	}
	name := pool.Name(e.Meta(metaPool))
	switch e.Meta(metaKind) {
	case kindFull:
		// A malformed limit affects only the text of the error.
		limit, _ := strconv.Atoi(e.Meta(metaLimit))
		return &QueueFullError{Pool: name, Limit: limit, ExpectedWait: parseMicros(e.Meta(metaWait))}
	case kindDeadline:
		return &DeadlineError{Pool: name, ExpectedWait: parseMicros(e.Meta(metaWait)), TimeLeft: parseMicros(e.Meta(metaLeft))}
	case kindPool:
		return &PoolUnavailableError{Pool: name, Reason: e.Msg()}
	case kindWithdrawn:
		return &WithdrawnError{Pool: name}
	}
	return nil
}

// parseMicros parses a number of microseconds. It returns 0 for a malformed value, which affects only the
// retry hint and the text of a refusal.
func parseMicros(text string) time.Duration {
	n, _ := strconv.ParseInt(text, 10, 64)
	return time.Duration(n) * time.Microsecond
}
