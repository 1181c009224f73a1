package event

import (
	"encoding"
	"io"
	"reflect"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rs/zerolog"
)

// Keys of every line, beside the fields of the event.
const (
	keyTime    = "@timestamp"
	keyLevel   = "@level"
	keyMessage = "@message"
	keyModule  = "@module"

	timeFormat = "2006-01-02T15:04:05.000000Z07:00"
)

// jsonSink receives the lines of an hclog logger and writes them in the JSON format of hclog. An owner writes some ten
// thousand lines a second in a burst, for which the encoder of hclog is too slow.
type jsonSink struct {
	logger zerolog.Logger
	level  hclog.Level
}

func newJSONSink(w io.Writer, level hclog.Level) *jsonSink {
	return &jsonSink{level: level, logger: zerolog.New(w)}
}

// Accept implements hclog.SinkAdapter.
func (s *jsonSink) Accept(name string, level hclog.Level, message string, pairs ...any) {
	if level < s.level {
		return
	}
	line := s.logger.Log().Str(keyTime, time.Now().Format(timeFormat)).Str(keyMessage, message).Str(keyLevel, level.String()).Str(keyModule, name)
	for i := 0; i+1 < len(pairs); i += 2 {
		key, ok := pairs[i].(string)
		if !ok {
			key = "!BADKEY"
		}
		addField(line, key, pairs[i+1])
	}
	line.Send()
}

// addField adds a field to a line. Types that are declared as a string or an integer are written as such, without the
// encoder of package json, which would find their kind by reflection as well. Durations are written in nanoseconds.
func addField(line *zerolog.Event, key string, value any) {
	switch v := value.(type) {
	case nil:
		line.Interface(key, nil)
		return
	case string:
		line.Str(key, v)
		return
	case error:
		line.Str(key, v.Error())
		return
	case encoding.TextMarshaler:
		line.Interface(key, v)
		return
	}
	switch v := reflect.ValueOf(value); v.Kind() {
	case reflect.String:
		line.Str(key, v.String())
	case reflect.Bool:
		line.Bool(key, v.Bool())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		line.Int64(key, v.Int())
	case reflect.Float32, reflect.Float64:
		line.Float64(key, v.Float())
	default:
		line.Interface(key, value)
	}
}
