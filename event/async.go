package event

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// maxLines bounds the lines that wait to be written. At some hundred bytes a line they take less than 1 MB.
const maxLines = 2048

// AsyncWriter passes log lines on to another writer without ever blocking. Lines are left out while too many
// wait, and their number is written once there is room again.
type AsyncWriter struct {
	to      io.Writer
	lines   chan []byte
	quit    chan struct{}
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewAsyncWriter returns a writer that passes lines on to w until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{to: w, lines: make(chan []byte, maxLines), quit: make(chan struct{})}
	a.done.Go(a.pass)
	return a
}

func (a *AsyncWriter) pass() {
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

// write writes one line. There is nowhere to report that the log itself cannot be written.
func (a *AsyncWriter) write(line []byte) {
	_, _ = a.to.Write(line)
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = a.to.Write([]byte(`{"@level":"warn","kind":"log.dropped","lines":` + strconv.FormatInt(n, 10) + "}\n"))
	}
}

// Write implements io.Writer. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait. Later lines are lost.
func (a *AsyncWriter) Close() {
	close(a.quit)
	a.done.Wait()
}
