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

// trailPollInterval is the interval between two reads of the audit trail.
const trailPollInterval = 500 * time.Millisecond

// lastPublishOffset returns the offset of the last publish in the audit trail. It is called before a publish
// is sent, because only later entries can stem from that publish: equal entries up to the offset are earlier
// attempts.
func (p *publisher) lastPublishOffset(ctx context.Context) (record.Offset, error) {
	entries, err := p.configEntries(ctx)
	if err != nil || len(entries) == 0 {
		return config.NoVersion, err
	}
	return entries[len(entries)-1].Offset, nil
}

// configEntries returns the audit entries of the config stream.
func (p *publisher) configEntries(ctx context.Context) ([]audit.Entry, error) {
	entries, err := p.client.Audit(ctx, time.Time{})
	return slices.DeleteFunc(entries, func(e audit.Entry) bool { return e.Stream != record.StreamConfig }), err
}

// resolveUnknownResult polls the audit trail for the record of a publish whose response was lost, and reports
// its result.
func (p *publisher) resolveUnknownResult(ctx context.Context, request admin.PublishRequest, lastOffset record.Offset, cause error) error {
	start := p.timer.Now()
	for {
		// A failed read is ignored, because the entry may be reachable again at the next one.
		entries, _ := p.configEntries(ctx)
		i := slices.IndexFunc(entries, func(e audit.Entry) bool { return e.Offset > lastOffset && isRecordOf(e, request) })
		if i >= 0 {
			return p.reportEntry(ctx, entries[i], request)
		}
		waited := p.timer.Since(start)
		if waited >= p.resolveTimeout || p.timer.Sleep(ctx, min(trailPollInterval, p.resolveTimeout-waited)) != nil {
			return &UnknownError{Waited: waited.Round(time.Millisecond), Cause: cause}
		}
	}
}

func (p *publisher) reportEntry(ctx context.Context, entry audit.Entry, request admin.PublishRequest) error {
	switch entry.Verdict {
	case stream.ResultApplied:
		return p.reportSuccess(admin.PublishResponse{Version: entry.Offset}, request)
	case stream.ResultStale:
		return p.newRaceError(ctx, request, entry.RejectionReason)
	case stream.ResultInvalid, stream.ResultDuplicate:
	}
	return &RejectedError{Entry: entry}
}

// isRecordOf reports whether the audit entry describes the record of the request: it has the same author and
// reason, and the same contents based on the same versions.
func isRecordOf(entry audit.Entry, request admin.PublishRequest) bool {
	if entry.Author != request.Author || entry.Reason != request.Reason {
		return false
	}
	return slices.EqualFunc(entry.Objects, request.Files, func(object audit.Object, file config.FileChange) bool {
		return object.Name == string(file.Name) && object.BaseVersion == int64(file.BaseVersion) && object.Digest == file.Digest()
	})
}

// newRaceError returns the error for a conflict, with the changes of the other operators.
func (p *publisher) newRaceError(ctx context.Context, request admin.PublishRequest, reason string) error {
	// If the trail cannot be read, the reason still names the other operator.
	entries, _ := p.configEntries(ctx)
	others := slices.DeleteFunc(entries, func(e audit.Entry) bool {
		return e.Verdict != stream.ResultApplied || !changesFileOf(e, request)
	})
	return &RaceError{Reason: reason, Others: others}
}

// changesFileOf reports whether the audit entry changes a file of the request after the version that the
// request is based on.
func changesFileOf(entry audit.Entry, request admin.PublishRequest) bool {
	return slices.ContainsFunc(entry.Objects, func(object audit.Object) bool {
		return slices.ContainsFunc(request.Files, func(file config.FileChange) bool {
			return object.Name == string(file.Name) && entry.Offset > file.BaseVersion
		})
	})
}
