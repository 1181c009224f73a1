package claim

import (
	"sort"
	"time"

	"hibiscuslane.example/hibiscuslane/record"
)

const (
	// maxAdvance bounds by how much one record advances the clock. If the clock of a writer jumps
	// forward, the retention is shortened by at most this much per jump.
	maxAdvance = time.Minute
	// maxWriters bounds the number of writers that the clock tracks. Eviction of a writer loses only the
	// time since its last record, which lengthens the retention.
	maxWriters = 64
)

// logClock is a logical clock that depends only on the records of the log, so that every entry expires a
// claim at the same offset. It adds up the time that passes between records of the same writer, so it
// never decreases and is not affected by differences between the clocks of the writers.
type logClock struct {
	// logTime is the time since the first record.
	logTime time.Duration
	writers map[record.Writer]writerClock
}

// writerClock is the clock reading of one writer.
type writerClock struct {
	// Time is the latest time in the records of the writer.
	Time time.Time `json:"time"`
	// LogTime is the log time at that record. It is at most the log time of the clock.
	LogTime time.Duration `json:"elapsed"`
	Offset  record.Offset `json:"offset"`
}

// advance adds the time since a writer's previous record, at most maxAdvance, to the log time of the writer,
// and advances the clock to it if it is later. A writer starts at the log time of the clock, and after a pause
// longer than maxAdvance it catches up with it.
func (c *logClock) advance(offset record.Offset, id record.Writer, at time.Time) {
	if c.writers == nil {
		c.writers = map[record.Writer]writerClock{}
	}
	w, ok := c.writers[id]
	if !ok {
		c.writers[id] = writerClock{Time: at, LogTime: c.logTime, Offset: offset}
		c.evictOldestWriter()
		return
	}
	w.Offset = offset
	if passed := at.Sub(w.Time); passed > maxAdvance {
		w.Time = at
		w.LogTime = max(w.LogTime+maxAdvance, c.logTime)
	} else if passed > 0 {
		w.Time = at
		w.LogTime += passed
	}
	c.logTime = max(c.logTime, w.LogTime)
	c.writers[id] = w
}

// evictOldestWriter removes the writer whose last record is the oldest if there are more than maxWriters.
func (c *logClock) evictOldestWriter() {
	if len(c.writers) <= maxWriters {
		return
	}
	var oldest record.Writer
	first := true
	for id, w := range c.writers {
		if first || w.Offset < c.writers[oldest].Offset {
			oldest, first = id, false
		}
	}
	delete(c.writers, oldest)
}

type clockSnapshot struct {
	LogTime time.Duration    `json:"elapsed"`
	Writers []writerSnapshot `json:"writers"`
}

type writerSnapshot struct {
	record.Writer
	writerClock
}

// snapshot returns the clock with the writers in the order of their offsets, so that equal clocks have
// equal snapshots.
func (c *logClock) snapshot() clockSnapshot {
	snap := clockSnapshot{LogTime: c.logTime, Writers: make([]writerSnapshot, 0, len(c.writers))}
	for id, w := range c.writers {
		snap.Writers = append(snap.Writers, writerSnapshot{Writer: id, writerClock: w})
	}
	sort.Slice(snap.Writers, func(i, j int) bool { return snap.Writers[i].Offset < snap.Writers[j].Offset })
	return snap
}

func (snap clockSnapshot) restore() logClock {
	c := logClock{logTime: snap.LogTime, writers: make(map[record.Writer]writerClock, len(snap.Writers))}
	for _, w := range snap.Writers {
		c.writers[w.Writer] = w.writerClock
	}
	return c
}
