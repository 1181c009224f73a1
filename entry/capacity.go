package entry

import (
	"bytes"
	"context"
	"errors"
	"io"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/request"
	"hibiscuslane.example/hibiscuslane/route"
	"hibiscuslane.example/hibiscuslane/slot"
	"hibiscuslane.example/hibiscuslane/target"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// capacity tells the slot allocator what it may grant. It implements slot.Capacity.
type capacity struct {
	table    *route.Table
	settings func() *config.Settings
}

// Usable implements slot.Capacity.
func (c capacity) UsableTargets(name pool.Name) []instance.ID { return c.table.UsableTargets(name) }

// Spec implements slot.Capacity.
func (c capacity) PoolSpec(name pool.Name) (pool.Spec, bool) {
	settings := c.settings()
	if settings == nil {
		return pool.Spec{}, false
	}
	spec, ok := settings.Pools[name]
	return spec, ok
}

// Weight implements slot.Capacity.
func (c capacity) TeamWeight(name team.Name) int {
	settings := c.settings()
	if settings == nil {
		return 1
	}
	return max(settings.Teams[name].Weight, 1)
}

// TargetUnavailableError reports a target that takes no work any more although a slot of it was granted.
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

// sender finds targets and sends to them. It implements request.Router and request.Sender.
type sender struct {
	table     *route.Table
	transport *target.Transport
	capacity  capacity
	// entries returns the number of live entries, which share the connections of a target.
	entries func() int
}

// Route implements request.Router.
func (s *sender) Route(_ context.Context, grant slot.Grant) (request.Target, error) {
	t, ok := s.table.Lookup(grant.Target)
	if !ok || t.Phase != instance.PhaseActive || t.Pool != grant.Pool {
		return request.Target{}, &TargetUnavailableError{Target: grant.Target}
	}
	return request.Target{ID: t.ID, Address: t.Address, Incarnation: t.Incarnation}, nil
}

// Report implements request.Router.
func (s *sender) ReportResult(t request.Target, err error) {
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		s.table.RecordRefusal(t.ID, t.Incarnation, refused.Refusal)
	}
	s.table.RecordResult(t.ID, t.Incarnation, target.HealthResult(err))
}

// Send implements request.Sender.
func (s *sender) Send(ctx context.Context, try *request.Attempt) (*request.TargetResponse, error) {
	r := try.Request
	spec, _ := s.capacity.PoolSpec(try.Grant.Pool)
	response, err := s.transport.Send(ctx, target.Request{
		ID: target.RequestID(r.ID), Target: try.Target.ID, Address: try.Target.Address, Incarnation: try.Target.Incarnation,
		Method: r.Method, URI: r.URI, Header: request.ForwardedHeader(r), Body: r.Body, Idempotent: r.Idempotent,
		MaxConnections: max(spec.MaxConnections/max(s.entries(), 1), 1),
	})
	if err != nil {
		return nil, err
	}
	return reply(response), nil
}

// reply turns a response of the transport into one of the request chain.
func reply(response *target.Response) *request.TargetResponse {
	if response.Stream != nil {
		return &request.TargetResponse{Status: response.Status, Header: response.Header, Body: response.Stream, ContentLength: -1}
	}
	return &request.TargetResponse{
		Status: response.Status, Header: response.Header,
		Body: io.NopCloser(bytes.NewReader(response.Body)), ContentLength: int64(len(response.Body)),
	}
}
