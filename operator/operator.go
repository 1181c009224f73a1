// Package operator follows what the operator publishes: the configuration and waves of maintenance.
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
	// readWait is how long a read waits for a record. A connection that has gone silent is noticed after it
	// and readSlack, which together stay below the 2 s in which a configuration has to be in force.
	readWait = 900 * time.Millisecond
	// readSlack bounds the answer of the store after readWait; a slow store takes about 0.4 s.
	readSlack = 700 * time.Millisecond
	// retryDelay is the pause after a failed read.
	retryDelay = 100 * time.Millisecond
	// part is the partition of the operator's records.
	part = 0
)

var (
	eventConfig    = event.Define(2400, "config.applied", "a configuration is in force")
	eventUnread    = event.Define(2401, "config.unreadable", "a record of the operator cannot be read; it is ignored")
	eventUnreached = event.Define(2402, "operator.lost", "the records of the operator cannot be read")
	eventReached   = event.Define(2403, "operator.regained", "the records of the operator can be read again")
)

// Wave is a request for maintenance with the time at which it was first read.
type Wave struct {
	wave.Request
	FirstRead time.Time
}

// Store is the part of the platform's store that a Follower uses.
type Store interface {
	Read(ctx context.Context, topic platform.Topic, part int, from platform.Offset, wait time.Duration) (platform.Batch, error)
	Newest(ctx context.Context, topic platform.Topic, part int) ([]platform.Record, platform.Offset, error)
}

// Follower holds the newest configuration and all waves. Fields are set before Run.
type Follower struct {
	Store Store
	Clock *timer.Service
	Log   event.Log
	// OnChange is called after each change, from one goroutine.
	OnChange func()

	mu       sync.Mutex
	config   *queue.Config
	document []byte
	offset   platform.Offset // of the configuration in force
	waves    map[wave.Number]Wave
	lost     time.Time
	next     platform.Offset // next offset to read; -1 before the first read
}

// Config returns the configuration in force; nil before the first.
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

// Waves returns the waves that were requested.
func (f *Follower) Waves() []Wave {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Wave, 0, len(f.waves))
	for _, w := range f.waves {
		list = append(list, w)
	}
	return list
}

// Run follows the records until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.next = -1
	for ctx.Err() == nil {
		changed, err := f.read(ctx)
		if err != nil && ctx.Err() == nil {
			f.unreached(err)
			_ = f.Clock.Sleep(ctx, retryDelay) // the loop ends with ctx
			continue
		}
		f.reached()
		if changed {
			f.OnChange()
		}
	}
}

func (f *Follower) read(ctx context.Context) (bool, error) {
	if f.next < 0 {
		return f.reload(ctx)
	}
	call, cancel := f.Clock.WithTimeout(ctx, readWait+readSlack)
	defer cancel()
	batch, err := f.Store.Read(call, platform.TopicOperator, part, f.next, readWait)
	if _, expired := platform.FirstKeptOffset(err); expired {
		return f.reload(ctx)
	}
	if err != nil {
		return false, err
	}
	if batch.EndOffset < f.next {
		return f.reload(ctx)
	}
	f.next = batch.NextOffset
	return f.apply(batch.Records), nil
}

func (f *Follower) reload(ctx context.Context) (bool, error) {
	call, cancel := f.Clock.WithTimeout(ctx, readWait+readSlack)
	defer cancel()
	records, end, err := f.Store.Newest(call, platform.TopicOperator, part)
	if err != nil {
		return false, err
	}
	f.next = end
	return f.apply(records), nil
}

func (f *Follower) apply(records []platform.Record) bool {
	changed := false
	for _, r := range records {
		switch {
		case len(r.Value) == 0:
		case r.Key == platform.ConfigKey:
			changed = f.ApplyConfig(r.Value, r.Offset) || changed
		case strings.HasPrefix(r.Key, platform.WavePrefix):
			changed = f.adoptWave(r) || changed
		}
	}
	return changed
}

// ApplyConfig puts a configuration in force unless an equal or later one is. It reports whether it did.
func (f *Follower) ApplyConfig(document []byte, offset platform.Offset) bool {
	config, err := platform.ParseConfig(document)
	if err != nil {
		f.Log.Error(eventUnread, "offset", offset, "error", err)
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config != nil && config.Version <= f.config.Version {
		return false
	}
	f.config, f.document, f.offset = config, document, offset
	f.Log.Info(eventConfig, "version", config.Version, "offset", offset)
	return true
}

func (f *Follower) adoptWave(r platform.Record) bool {
	request, err := platform.ParseWave(r.Value)
	if err != nil {
		f.Log.Error(eventUnread, "key", r.Key, "offset", r.Offset, "error", err)
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

func (f *Follower) unreached(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost.IsZero() {
		f.lost = f.Clock.Now()
		f.Log.Warn(eventUnreached, "error", err)
	}
}

func (f *Follower) reached() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost.IsZero() {
		f.Log.Info(eventReached, "after", f.Clock.Since(f.lost))
		f.lost = time.Time{}
	}
}
