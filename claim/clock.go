package claim

import (
	"sort"
	"time"

	"hibiscuslane.example/hibiscuslane/record"
)

const (
	// maxStep is the most by which one record moves the clock. A writer whose clock jumps shortens the
	// retention by at most this much per jump.
	maxStep = time.Minute
	// maxWriters bounds the writers that the clock follows. A forgotten writer loses only the time
	// since its last record, which lengthens the retention.
	maxWriters = 64
)

// logClock derives time from the records alone, so that every entry expires a claim at the same
// offset. It adds up the time that passes between records of the same writer, so it is independent of
// the offsets between the clocks of the writers, and never decreases.
type logClock struct {
	// elapsed is the time since the first record.
	elapsed time.Duration
	writers map[record.Writer]writerClock
}

type writerClock struct {
	// Time is the latest time in the writer's records.
	Time time.Time `json:"time"`
	// Elapsed is the log time at that record; at most that of the clock.
	Elapsed time.Duration `json:"elapsed"`
	Offset  record.Offset `json:"offset"`
}

// observe advances the clock by a record.
func (c *logClock) observe(offset record.Offset, id record.Writer, at time.Time) {
	if c.writers == nil {
		c.writers = map[record.Writer]writerClock{}
	}
	w, ok := c.writers[id]
	if !ok {
		c.writers[id] = writerClock{Time: at, Elapsed: c.elapsed, Offset: offset}
		c.forget()
		return
	}
	w.Offset = offset
	if passed := at.Sub(w.Time); passed > maxStep {
		w.Time = at
		w.Elapsed = max(w.Elapsed+maxStep, c.elapsed)
	} else if passed > 0 {
		w.Time = at
		w.Elapsed += passed
	}
	c.elapsed = max(c.elapsed, w.Elapsed)
	c.writers[id] = w
}

// forget removes the writer with the oldest record when there are too many.
func (c *logClock) forget() {
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

type clockImage struct {
	Elapsed time.Duration `json:"elapsed"`
	Writers []writerImage `json:"writers"`
}

type writerImage struct {
	record.Writer
	writerClock
}

// image returns the clock in a canonical order.
func (c *logClock) image() clockImage {
	img := clockImage{Elapsed: c.elapsed, Writers: make([]writerImage, 0, len(c.writers))}
	for id, w := range c.writers {
		img.Writers = append(img.Writers, writerImage{Writer: id, writerClock: w})
	}
	sort.Slice(img.Writers, func(i, j int) bool { return img.Writers[i].Offset < img.Writers[j].Offset })
	return img
}

func (img clockImage) clock() logClock {
	c := logClock{elapsed: img.Elapsed, writers: make(map[record.Writer]writerClock, len(img.Writers))}
	for _, w := range img.Writers {
		c.writers[w.Writer] = w.writerClock
	}
	return c
}
