package event

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// maxQueuedLines limits the number of lines in the queue. At a few hundred bytes each they take less than 1 MB.
const maxQueuedLines = 2048

// AsyncWriter writes log lines to another writer from a queue, so that callers never block. It drops lines
// while the queue is full and logs their number after the next line that it writes.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	quit    chan struct{}
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewAsyncWriter returns a writer that writes lines to w until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: w, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{})}
	a.done.Go(a.writeLines)
	return a
}

func (a *AsyncWriter) writeLines() {
	for {
		select {
		case line := <-a.lines:
			a.write(line)
		case <-a.quit:
			for len(a.lines) > 0 {
				a.write(<-a.lines)
			}
			return
		}
	}
}

// maxBatchBytes is the size at which no further line is added to a write.
const maxBatchBytes = 32 << 10

// write writes a line and those that are queued behind it with one call. It ignores errors, because there is nowhere to
// report that the log cannot be written.
func (a *AsyncWriter) write(batch []byte) {
	for len(a.lines) > 0 && len(batch) < maxBatchBytes {
		batch = append(batch, <-a.lines...)
	}
	_, _ = a.out.Write(batch)
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = a.out.Write([]byte(`{"@level":"warn","kind":"log.dropped","lines":` + strconv.FormatInt(n, 10) + "}\n"))
	}
}

// Write implements io.Writer. It never fails and never blocks.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. Lines written afterwards are lost.
func (a *AsyncWriter) Close() {
	close(a.quit)
	a.done.Wait()
}
