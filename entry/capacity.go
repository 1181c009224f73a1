package entry

import (
	"bytes"
	"context"
	"errors"
	"io"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/exchange"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/request"
	"hibiscuslane.example/hibiscuslane/route"
	"hibiscuslane.example/hibiscuslane/slot"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// poolCapacity provides the slot allocator with the usable targets and the configuration of pools. It
// implements slot.Capacity.
type poolCapacity struct {
	table    *route.Table
	settings func() *config.Settings
}

// UsableTargets implements slot.Capacity.
func (c poolCapacity) UsableTargets(name pool.Name) []instance.ID { return c.table.UsableTargets(name) }

// PoolSpec implements slot.Capacity.
func (c poolCapacity) PoolSpec(name pool.Name) (pool.Spec, bool) {
	settings := c.settings()
	if settings == nil {
		return pool.Spec{}, false
	}
	spec, ok := settings.Pools[name]
	return spec, ok
}

// TeamWeight implements slot.Capacity.
func (c poolCapacity) TeamWeight(name team.Name) int {
	settings := c.settings()
	if settings == nil {
		return 1
	}
	return max(settings.Teams[name].Weight, 1)
}

// TargetUnavailableError reports a target that stopped accepting work after one of its slots was
// granted.
type TargetUnavailableError struct {
	Target instance.ID
}

func (e *TargetUnavailableError) Error() string {
	return "target " + string(e.Target) + " takes no work"
}

// Code implements failure.Coded.
func (e *TargetUnavailableError) Code() failure.Code { return failure.CodeRefused }

// Outcome implements failure.Coded.
func (e *TargetUnavailableError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// targetSender looks up the target of a granted slot and sends requests to it. It implements
// request.Router and request.Sender.
type targetSender struct {
	table     *route.Table
	transport *exchange.Transport
	capacity  poolCapacity
	// liveEntryCount returns the number of live entries, which share the connection limit of a target.
	liveEntryCount func() int
}

// Route implements request.Router.
func (s *targetSender) Route(_ context.Context, grant slot.Grant) (request.Target, error) {
	t, ok := s.table.Lookup(grant.Target)
	if !ok || t.Phase != instance.PhaseActive || t.Pool != grant.Pool {
		return request.Target{}, &TargetUnavailableError{Target: grant.Target}
	}
	return request.Target{ID: t.ID, Address: t.Address, Incarnation: t.Incarnation}, nil
}

// ReportResult implements request.Router.
func (s *targetSender) ReportResult(t request.Target, err error) {
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		s.table.RecordRefusal(t.ID, t.Incarnation, refused.Refusal)
	}
	s.table.RecordResult(t.ID, t.Incarnation, exchange.HealthResult(err))
}

// Send implements request.Sender.
func (s *targetSender) Send(ctx context.Context, attempt *request.Attempt) (*request.TargetResponse, error) {
	r := attempt.Request
	spec, _ := s.capacity.PoolSpec(attempt.Grant.Pool)
	response, err := s.transport.Send(ctx, exchange.Request{
		ID: exchange.RequestID(r.ID), Target: attempt.Target.ID, Address: attempt.Target.Address, Incarnation: attempt.Target.Incarnation,
		Method: r.Method, URI: r.URI, Header: request.ForwardedHeader(r), Body: r.Body, Idempotent: r.Idempotent,
		MaxConnections: max(spec.MaxConnections/max(s.liveEntryCount(), 1), 1),
	})
	if err != nil {
		return nil, err
	}
	return newTargetResponse(response), nil
}

// newTargetResponse converts a response of the transport to one of the request chain.
func newTargetResponse(response *exchange.Response) *request.TargetResponse {
	if response.Stream != nil {
		return &request.TargetResponse{Status: response.Status, Header: response.Header, Body: response.Stream, ContentLength: -1}
	}
	return &request.TargetResponse{
		Status: response.Status, Header: response.Header,
		Body: io.NopCloser(bytes.NewReader(response.Body)), ContentLength: int64(len(response.Body)),
	}
}
