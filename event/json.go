package event

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Keys of every line, beside the fields of the event.
const (
	keyTime    = "@timestamp"
	keyLevel   = "@level"
	keyMessage = "@message"
	keyModule  = "@module"

	timeFormat = "2006-01-02T15:04:05.000000Z07:00"
)

// jsonSink receives the lines of an hclog logger and writes them in the JSON format of hclog.
type jsonSink struct {
	handler slog.Handler
	level   hclog.Level
}

func newJSONSink(w io.Writer, level hclog.Level) *jsonSink {
	return &jsonSink{level: level, handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: renameKey})}
}

// renameKey gives the fields that slog adds to each line the keys and formats of hclog.
func renameKey(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.TimeKey:
		return slog.String(keyTime, a.Value.Time().Format(timeFormat))
	case slog.LevelKey:
		return slog.Attr{} // Accept adds the level of hclog
	case slog.MessageKey:
		a.Key = keyMessage
	}
	return a
}

// Accept implements hclog.SinkAdapter.
func (s *jsonSink) Accept(name string, level hclog.Level, message string, pairs ...any) {
	if level < s.level {
		return
	}
	record := slog.NewRecord(time.Now(), slog.LevelInfo, message, 0)
	record.AddAttrs(slog.String(keyLevel, level.String()), slog.String(keyModule, name))
	record.Add(pairs...)
	_ = s.handler.Handle(context.Background(), record) // writing a log line has no one to report to
}
