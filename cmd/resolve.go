package cmd

import (
	"context"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

// trailPoll is the time between two reads of the trail.
const trailPoll = 500 * time.Millisecond

// mark returns the offset of the last publish in the trail. Entries after it may be the publish that
// is about to be sent; an equal entry before it is an earlier try.
func (p *publisher) mark(ctx context.Context) (record.Offset, error) {
	entries, err := p.publishes(ctx)
	if err != nil || len(entries) == 0 {
		return config.NoVersion, err
	}
	return entries[len(entries)-1].Offset, nil
}

// publishes returns the entries of the config stream.
func (p *publisher) publishes(ctx context.Context) ([]audit.Entry, error) {
	entries, err := p.client.Audit(ctx, time.Time{})
	return slices.DeleteFunc(entries, func(e audit.Entry) bool { return e.Stream != record.StreamConfig }), err
}

// resolve finds out what became of a publish whose answer was lost.
func (p *publisher) resolve(ctx context.Context, request admin.PublishRequest, mark record.Offset, cause error) error {
	start := p.timer.Now()
	for {
		// An error here is another failed read; the entry may be back for the next one.
		entries, _ := p.publishes(ctx)
		i := slices.IndexFunc(entries, func(e audit.Entry) bool { return e.Offset > mark && matches(e, request) })
		if i >= 0 {
			return p.report(ctx, entries[i], request)
		}
		waited := p.timer.Since(start)
		if waited >= p.settle || p.timer.Sleep(ctx, min(trailPoll, p.settle-waited)) != nil {
			return &UnknownError{Waited: waited.Round(time.Millisecond), Cause: cause}
		}
	}
}

func (p *publisher) report(ctx context.Context, entry audit.Entry, request admin.PublishRequest) error {
	switch entry.Verdict {
	case stream.ResultApplied:
		return p.done(admin.PublishAnswer{Version: entry.Offset}, request)
	case stream.ResultStale:
		return p.race(ctx, request, entry.RejectionReason)
	case stream.ResultInvalid, stream.ResultDuplicate:
	}
	return &RejectedError{Entry: entry}
}

// matches reports whether the entry is the record of the request: same author and reason, and the same
// contents based on the same versions.
func matches(entry audit.Entry, request admin.PublishRequest) bool {
	if entry.Author != request.Author || entry.Reason != request.Reason {
		return false
	}
	return slices.EqualFunc(entry.Objects, request.Files, func(object audit.Object, file config.FileChange) bool {
		return object.Name == string(file.Name) && object.BaseVersion == int64(file.BaseVersion) && object.Digest == file.Digest()
	})
}

// race returns the error of a lost race with the changes of the other operators.
func (p *publisher) race(ctx context.Context, request admin.PublishRequest, reason string) error {
	// Without the trail the reason still names the other operator.
	entries, _ := p.publishes(ctx)
	others := slices.DeleteFunc(entries, func(e audit.Entry) bool {
		return e.Verdict != stream.ResultApplied || !touches(e, request)
	})
	return &RaceError{Reason: reason, Others: others}
}

// touches reports whether the entry sets a file of the request after the version that it is based on.
func touches(entry audit.Entry, request admin.PublishRequest) bool {
	return slices.ContainsFunc(entry.Objects, func(object audit.Object) bool {
		return slices.ContainsFunc(request.Files, func(file config.FileChange) bool {
			return object.Name == string(file.Name) && entry.Offset > file.BaseVersion
		})
	})
}
