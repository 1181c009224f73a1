// Package operator follows the records that the operator publishes to "hibiscuslane run": the
// configuration and maintenance waves. In "hibiscuslane serve", the configuration is published over the
// administration API (package admin) and kept in package config.
package operator

import (
	"context"
	"strings"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/wave"
)

const (
	// readWait is how long a read waits for a record. A dead connection is detected after readWait plus
	// readMargin, which must stay below the 2 s within which a configuration has to be in force.
	readWait = 900 * time.Millisecond
	// readMargin is the time that the store has to answer after readWait; a slow store takes about 0.4 s.
	readMargin = 700 * time.Millisecond
	// retryDelay is the pause after a failed read.
	retryDelay = 100 * time.Millisecond
	// partition holds the operator's records.
	partition = 0
)

var (
	eventConfigApplied    = event.Define(2400, "config.applied", "a configuration is in force")
	eventUnreadable       = event.Define(2401, "config.unreadable", "a record of the operator is invalid and was ignored")
	eventStoreUnreachable = event.Define(2402, "operator.lost", "the operator's records cannot be read from the store")
	eventStoreReachable   = event.Define(2403, "operator.regained", "the operator's records can be read again")
)

// Wave is a request for a maintenance wave and the time at which it was first read.
type Wave struct {
	wave.Request
	FirstRead time.Time
}

// Store is the part of the platform's store that a Follower uses.
type Store interface {
	Read(ctx context.Context, topic platform.Topic, partition int, from platform.Offset, wait time.Duration) (platform.Batch, error)
	Newest(ctx context.Context, topic platform.Topic, partition int) ([]platform.Record, platform.Offset, error)
}

// Follower keeps the newest configuration and all waves. The exported fields must be set before Run.
type Follower struct {
	Store Store
	Clock *timer.Service
	Log   event.Log
	// OnChange is called from the goroutine of Run after each read that put a configuration in force or returned a wave.
	// ApplyConfig does not call it.
	OnChange func()

	mu               sync.Mutex
	config           *queue.Config
	document         []byte          // the configuration in force as it was published
	offset           platform.Offset // offset of the configuration in force
	waves            map[wave.Number]Wave
	unreachableSince time.Time       // zero while the records can be read
	nextOffset       platform.Offset // next offset to read; -1 before the first read; only Run uses it, without mu
}

// Config returns the configuration in force; nil before the first one.
func (f *Follower) Config() *queue.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// Document returns the configuration in force as it was published, and the offset of its record.
func (f *Follower) Document() ([]byte, platform.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document, f.offset
}

// Waves returns all requested waves.
func (f *Follower) Waves() []Wave {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Wave, 0, len(f.waves))
	for _, w := range f.waves {
		list = append(list, w)
	}
	return list
}

// Run reads the operator's records until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.nextOffset = -1
	for ctx.Err() == nil {
		changed, err := f.read(ctx)
		if err != nil && ctx.Err() == nil {
			f.recordUnreachable(err)
			_ = f.Clock.Sleep(ctx, retryDelay) // the loop ends with ctx
			continue
		}
		f.recordReachable()
		if changed {
			f.OnChange()
		}
	}
}

// read reads and applies the next records. It reports whether it put a configuration in force or read a wave.
func (f *Follower) read(ctx context.Context) (bool, error) {
	if f.nextOffset < 0 {
		return f.readNewest(ctx)
	}
	callCtx, cancel := f.Clock.WithTimeout(ctx, readWait+readMargin)
	defer cancel()
	batch, err := f.Store.Read(callCtx, platform.TopicOperator, partition, f.nextOffset, readWait)
	if _, expired := platform.FirstKeptOffset(err); expired {
		return f.readNewest(ctx)
	}
	if err != nil {
		return false, err
	}
	// If the partition ends before the next offset, it has lost records, so all of it is read again.
	if batch.EndOffset < f.nextOffset {
		return f.readNewest(ctx)
	}
	f.nextOffset = batch.NextOffset
	return f.applyRecords(batch.Records), nil
}

// readNewest reads and applies the newest record of each key. It is used for the first read, and when the next records
// are no longer in the store.
func (f *Follower) readNewest(ctx context.Context) (bool, error) {
	callCtx, cancel := f.Clock.WithTimeout(ctx, readWait+readMargin)
	defer cancel()
	records, end, err := f.Store.Newest(callCtx, platform.TopicOperator, partition)
	if err != nil {
		return false, err
	}
	f.nextOffset = end
	return f.applyRecords(records), nil
}

func (f *Follower) applyRecords(records []platform.Record) bool {
	changed := false
	for _, r := range records {
		switch {
		case len(r.Value) == 0: // the deletion of a key is ignored
		case r.Key == platform.ConfigKey:
			changed = f.ApplyConfig(r.Value, r.Offset) || changed
		case strings.HasPrefix(r.Key, platform.WavePrefix):
			changed = f.addWave(r) || changed
		}
	}
	return changed
}

// ApplyConfig puts a configuration in force unless it is invalid or the current one has the same or a later
// version. It reports whether it did.
func (f *Follower) ApplyConfig(document []byte, offset platform.Offset) bool {
	config, err := platform.ParseConfig(document)
	if err != nil {
		f.Log.Error(eventUnreadable, "offset", offset, "error", err)
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != nil && config.Version <= f.config.Version {
		return false
	}
	f.config, f.document, f.offset = config, document, offset
	f.Log.Info(eventConfigApplied, "version", config.Version, "offset", offset)
	return true
}

func (f *Follower) addWave(r platform.Record) bool {
	request, err := platform.ParseWave(r.Value)
	if err != nil {
		f.Log.Error(eventUnreadable, "key", r.Key, "offset", r.Offset, "error", err)
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waves == nil {
		f.waves = map[wave.Number]Wave{}
	}
	known, ok := f.waves[request.Number]
	if !ok {
		known.FirstRead = f.Clock.Now()
	}
	known.Request = request
	f.waves[request.Number] = known
	return true
}

func (f *Follower) recordUnreachable(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachableSince.IsZero() {
		f.unreachableSince = f.Clock.Now()
		f.Log.Warn(eventStoreUnreachable, "error", err)
	}
}

func (f *Follower) recordReachable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.unreachableSince.IsZero() {
		f.Log.Info(eventStoreReachable, "after", f.Clock.Since(f.unreachableSince))
		f.unreachableSince = time.Time{}
	}
}
