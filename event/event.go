// Package event defines numbered log events and writes them as structured log lines. All events are listed
// in docs/events.md.
package event

import (
	"errors"
	"io"

	"github.com/hashicorp/go-hclog"

	"hibiscuslane.example/hibiscuslane/failure"
)

// Number identifies an event. A number is never reused for another event.
type Number int

// Event is a kind of log line.
type Event struct {
	Number Number
	// Name consists of one or two lower-case words separated by a dot.
	Name string
	// Text is the message of the log line and the meaning of the event in the catalogue.
	Text string
}

// Define declares an event. It must be called with literal arguments to initialize a package-level variable
// in the file events.go of a package, because the catalogue test parses the arguments in the source.
func Define(number Number, name, text string) Event {
	return Event{Number: number, Name: name, Text: text}
}

// Log writes events as log lines. The zero value discards them.
type Log struct {
	logger hclog.Logger
}

// Format is the encoding of log lines.
type Format string

// Formats of log lines.
const (
	FormatJSON Format = "json"
	FormatText Format = "text"
)

// NewLog returns a Log that writes lines of at least the given level (trace, debug, info, warn, error).
func NewLog(w io.Writer, name, level string, format Format) Log {
	options := &hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(level), Output: w}
	if format == FormatJSON {
		// The JSON encoder of hclog takes twice as long, which counts with a few thousand lines per second.
		sink := newJSONSink(w, options.Level)
		logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: name, Level: hclog.Off, Output: io.Discard})
		logger.RegisterSink(sink)
		return Log{logger: logger}
	}
	return Log{logger: hclog.New(options)}
}

// With returns a Log that adds the key-value pairs to each line.
func (l Log) With(pairs ...any) Log {
	if l.logger == nil {
		return l
	}
	return Log{logger: l.logger.With(pairs...)}
}

// Debug writes an event of interest to developers.
func (l Log) Debug(e Event, pairs ...any) { l.write(hclog.Debug, e, pairs) }

// Info writes an event of normal operation.
func (l Log) Info(e Event, pairs ...any) { l.write(hclog.Info, e, pairs) }

// Warn writes an event that an operator may have to investigate.
func (l Log) Warn(e Event, pairs ...any) { l.write(hclog.Warn, e, pairs) }

// Error writes an event that requires action by an operator.
func (l Log) Error(e Event, pairs ...any) { l.write(hclog.Error, e, pairs) }

func (l Log) write(level hclog.Level, e Event, pairs []any) {
	if l.logger == nil {
		return
	}
	fields := make([]any, 0, len(pairs)+6)
	fields = append(fields, "event", int(e.Number), "kind", e.Name)
	fields = append(fields, pairs...)
	if trace := stackTrace(pairs); trace != "" {
		fields = append(fields, "trace", trace)
	}
	l.logger.Log(level, e.Text, fields...)
}

// stackTrace returns the stack trace of the first internal error among the values of the pairs. Errors of a
// specific type need no stack trace.
func stackTrace(pairs []any) string {
	for _, value := range pairs {
		err, ok := value.(error)
		if !ok {
			continue
		}
		var internal *failure.InternalError
		if errors.As(err, &internal) {
			return internal.Trace()
		}
	}
	return ""
}
