package carrier

import (
	"bufio"
	"errors"
	"math"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// errInvalidMessage is the cause of a failed call whose order or result cannot be decoded.
var errInvalidMessage = errors.New("the message is invalid")

// reportOf returns the report in a result.
func reportOf(r *Result) (worker.Report, error) {
	report := worker.Report{Incarnation: worker.Incarnation(r.Incarnation), Clock: worker.Clock(r.Clock), HasRunning: r.Listed}
	for _, in := range r.Running {
		key, ok := task.ParseKey(in.Task)
		if !ok {
			return report, errInvalidMessage
		}
		report.Running = append(report.Running, worker.Run{Key: key, Number: task.RunNumber(in.Run), Checkpoint: task.Checkpoint(in.Checkpoint), SpeedPercent: int(in.Percent), Measurement: in.Measurement})
	}
	for _, in := range r.Ended {
		key, ok := task.ParseKey(in.Task)
		if !ok {
			return report, errInvalidMessage
		}
		report.Ended = append(report.Ended, worker.RunEnd{Number: worker.EndNumber(in.Number), Key: key, Run: task.RunNumber(in.Run), Cause: worker.Cause(in.Cause), Checkpoint: task.Checkpoint(in.Checkpoint)})
	}
	return report, nil
}

// setReport sets the report in a result.
func (r *Result) setReport(report worker.Report) {
	r.Incarnation, r.Clock, r.Listed = int64(report.Incarnation), int64(report.Clock), report.HasRunning
	for _, run := range report.Running {
		percent := min(max(run.SpeedPercent, 0), math.MaxInt32)
		r.Running = append(r.Running, &Run{Task: run.Key.String(), Run: int64(run.Number), Checkpoint: string(run.Checkpoint), Percent: int32(percent), Measurement: run.Measurement})
	}
	for _, end := range report.Ended {
		r.Ended = append(r.Ended, &End{Number: int64(end.Number), Task: end.Key.String(), Run: int64(end.Run), Cause: string(end.Cause), Checkpoint: string(end.Checkpoint)})
	}
}

// setError sets the error of a call in a result.
func (r *Result) setError(err error) {
	var status *platform.StatusError
	switch {
	case err == nil:
	case errors.As(err, &status):
		r.Status, r.Reason = int32(status.Status), status.Reason
	default:
		r.Failure, r.Unsent = err.Error(), platform.IsNotSent(err)
		current, _ := platform.OtherIncarnation(err)
		r.Incarnation = int64(current)
	}
}

// errorOf returns the error in the result of a call; nil if the worker has confirmed the call.
func errorOf(r *Result, member, call string, target *platform.Worker) error {
	switch {
	case r.Expired:
		return &LostError{Carrier: member, Cause: errExpired}
	case r.Status != 0:
		return &platform.StatusError{Call: call, Status: int(r.Status), Reason: r.Reason}
	case r.Unsent && r.Incarnation != 0:
		return &platform.NotSentError{Cause: &platform.IncarnationError{Worker: target.ID, Expected: target.Incarnation, Current: worker.Incarnation(r.Incarnation)}}
	case r.Unsent:
		return &platform.NotSentError{Cause: &platform.CallError{Call: call, Cause: errors.New(r.Failure)}}
	case r.Failure != "":
		return &platform.CallError{Call: call, Cause: errors.New(r.Failure)}
	}
	return nil
}

// writeMessage sends a message within writeTimeout.
func writeMessage(conn net.Conn, writer *bufio.Writer, m proto.Message) error {
	// The deadline is one of the network poller, which uses the system clock.
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(writer, m); err != nil {
		return err
	}
	return writer.Flush()
}

// readMessage reads a message of at most maxMessageBytes.
func readMessage(reader *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(reader, m)
}
