package slot

import (
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"hibiscuslane.example/hibiscuslane/pool"
)

// Keys of error details between entries; durations are in microseconds.
const (
	metaKind  = "kind"
	metaPool  = "pool"
	metaWait  = "wait"
	metaLeft  = "left"
	metaLimit = "limit"
)

const (
	kindFull      = "full"
	kindDeadline  = "deadline"
	kindPool      = "pool"
	kindWithdrawn = "withdrawn"
)

// encodeError turns a typed refusal into an error that twirp carries to the caller.
func encodeError(err error) error {
	var (
		full      *QueueFullError
		deadline  *DeadlineError
		missing   *PoolUnavailableError
		withdrawn *WithdrawnError
	)
	switch {
	case errors.As(err, &full):
		return details(twirp.ResourceExhausted, full.Error(), kindFull, full.Pool).
			WithMeta(metaWait, micros(full.ExpectedWait)).WithMeta(metaLimit, strconv.Itoa(full.Limit))
	case errors.As(err, &deadline):
		return details(twirp.FailedPrecondition, deadline.Error(), kindDeadline, deadline.Pool).
			WithMeta(metaWait, micros(deadline.ExpectedWait)).WithMeta(metaLeft, micros(deadline.TimeLeft))
	case errors.As(err, &missing):
		return details(twirp.FailedPrecondition, missing.Reason, kindPool, missing.Pool)
	case errors.As(err, &withdrawn):
		return details(twirp.Aborted, withdrawn.Error(), kindWithdrawn, withdrawn.Pool)
	}
	return twirp.InternalErrorWith(err)
}

func details(code twirp.ErrorCode, text, kind string, name pool.Name) twirp.Error {
	return twirp.NewError(code, text).WithMeta(metaKind, kind).WithMeta(metaPool, string(name))
}

func micros(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// decodeError returns the typed refusal of an owner, or nil if the call itself failed.
func decodeError(err error) error {
	var e twirp.Error
	if !errors.As(err, &e) {
		return nil
	}
	name := pool.Name(e.Meta(metaPool))
	switch e.Meta(metaKind) {
	case kindFull:
		// A malformed limit only blurs the text of the refusal.
		limit, _ := strconv.Atoi(e.Meta(metaLimit))
		return &QueueFullError{Pool: name, Limit: limit, ExpectedWait: duration(e.Meta(metaWait))}
	case kindDeadline:
		return &DeadlineError{Pool: name, ExpectedWait: duration(e.Meta(metaWait)), TimeLeft: duration(e.Meta(metaLeft))}
	case kindPool:
		return &PoolUnavailableError{Pool: name, Reason: e.Msg()}
	case kindWithdrawn:
		return &WithdrawnError{Pool: name}
	}
	return nil
}

// duration parses microseconds. A malformed value of a refusal only blurs the retry hint.
func duration(text string) time.Duration {
	n, _ := strconv.ParseInt(text, 10, 64)
	return time.Duration(n) * time.Microsecond
}
