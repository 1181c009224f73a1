package fleet

import (
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
)

// Record kinds of the fleet stream.
const (
	KindAdmit    record.Kind = "admit"
	KindDrain    record.Kind = "drain"
	KindJoin     record.Kind = "join"
	KindMarkLost record.Kind = "lose"
	KindRemove   record.Kind = "remove"
)

// Body is the typed body of a fleet record: Admit, Drain, Join, Lose or Remove.
type Body interface {
	// Kind returns the record kind of the body.
	Kind() record.Kind
	// Object returns the instance that the record changes and the version that it is based on.
	Header() RecordHeader
	validate() error
}

// RecordHeader is the object of a record together with its precondition.
type RecordHeader struct {
	ID instance.ID `json:"id"`
	// Version is the version of the instance that the author saw. It is 0 for an instance that was
	// never admitted.
	Version Version `json:"version"`
	// Reason tells operators why the record was written.
	Reason string `json:"reason,omitempty"`
}

// Header implements Body for the types that embed a Subject.
func (s RecordHeader) Header() RecordHeader { return s }

// Admit adds an instance to the fleet. An instance that was removed may be admitted again under a
// higher incarnation; its version continues from the removal.
type Admit struct {
	RecordHeader
	InstanceKind instance.Kind        `json:"type"`
	Pool         pool.Name            `json:"pool"`
	Incarnation  instance.Incarnation `json:"incarnation"`
	Address      instance.Address     `json:"address"`
	Centre       site.DataCentre      `json:"centre"`
	Rack         site.Rack            `json:"rack"`
	Cores        int                  `json:"cores,omitempty"`
	Memory       int                  `json:"memory,omitempty"` // MB
	Accelerators int                  `json:"accelerators,omitempty"`
}

// Drain stops new work on an active instance before its reboot. Its limits are preconditions on the
// whole pool and failure domain: two authors who drain different instances at the same time would
// otherwise each respect the availability budget and together exceed it.
type Drain struct {
	RecordHeader
	// Next is the pool after the reboot.
	NextPool pool.Name `json:"next"`
	// Floor is the least number of active instances of the same pool and kind that must remain.
	MinActive int `json:"floor"`
	// Rack and Centre are the most instances of the fleet, this one included, that may be draining in
	// the rack and in the data centre; 0 means no limit.
	MaxDrainingInRack   int `json:"rack,omitempty"`
	MaxDrainingInCentre int `json:"centre,omitempty"`
}

// Join returns a draining or lost instance to service under a higher incarnation. A draining instance
// joins the pool that its drain record named; a lost one may join any pool.
type Join struct {
	RecordHeader
	Pool        pool.Name            `json:"pool"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Address     instance.Address     `json:"address"`
	Centre      site.DataCentre      `json:"centre"`
	Rack        site.Rack            `json:"rack"`
}

// MarkLost declares an active or draining instance as failed.
type MarkLost struct {
	RecordHeader
}

// Remove deletes a lost instance.
type Remove struct {
	RecordHeader
}

// Kind implements Body.
func (*Admit) Kind() record.Kind { return KindAdmit }

// Kind implements Body.
func (*Drain) Kind() record.Kind { return KindDrain }

// Kind implements Body.
func (*Join) Kind() record.Kind { return KindJoin }

// Kind implements Body.
func (*MarkLost) Kind() record.Kind { return KindMarkLost }

// Kind implements Body.
func (*Remove) Kind() record.Kind { return KindRemove }

// Decode returns the typed body of an envelope of the fleet stream.
func Decode(envelope record.Envelope) (Body, error) {
	body, err := empty(envelope.Kind)
	if err != nil {
		return nil, err
	}
	if err := record.Body(envelope, body); err != nil {
		return nil, err
	}
	if err := body.validate(); err != nil {
		return nil, err
	}
	return body, nil
}

func empty(kind record.Kind) (Body, error) {
	switch kind {
	case KindAdmit:
		return &Admit{}, nil
	case KindDrain:
		return &Drain{}, nil
	case KindJoin:
		return &Join{}, nil
	case KindMarkLost:
		return &MarkLost{}, nil
	case KindRemove:
		return &Remove{}, nil
	}
	return nil, &UnknownKindError{Kind: kind}
}

func (s RecordHeader) validate() error {
	return check(required("id", string(s.ID)), optional("reason", s.Reason))
}

func (b *Admit) validate() error {
	return check(
		b.RecordHeader.validate(),
		oneOf("type", b.InstanceKind),
		required("pool", string(b.Pool)),
		required("address", string(b.Address)),
		required("centre", string(b.Centre)),
		required("rack", string(b.Rack)),
		notNegative("cores", b.Cores),
		notNegative("memory", b.Memory),
		notNegative("accelerators", b.Accelerators),
	)
}

func (b *Drain) validate() error {
	return check(
		b.RecordHeader.validate(),
		required("next", string(b.NextPool)),
		notNegative("floor", b.MinActive),
		notNegative("rack", b.MaxDrainingInRack),
		notNegative("centre", b.MaxDrainingInCentre),
	)
}

func (b *Join) validate() error {
	return check(
		b.RecordHeader.validate(),
		required("pool", string(b.Pool)),
		required("address", string(b.Address)),
		required("centre", string(b.Centre)),
		required("rack", string(b.Rack)),
	)
}

// textLimit bounds each string of a record, so that no record can bloat the state and its snapshots.
const textLimit = 256

func required(field, value string) error {
	if value == "" {
		return &FieldError{Field: field, Rule: "is empty"}
	}
	return optional(field, value)
}

func optional(field, value string) error {
	if len(value) > textLimit {
		return &FieldError{Field: field, Rule: "is longer than 256 bytes"}
	}
	return nil
}

func oneOf(field string, kind instance.Kind) error {
	if kind == instance.KindTarget || kind == instance.KindWorker {
		return nil
	}
	return &FieldError{Field: field, Rule: "is neither target nor worker"}
}

func notNegative(field string, value int) error {
	if value < 0 {
		return &FieldError{Field: field, Rule: "is negative"}
	}
	return nil
}

// check returns the first error.
func check(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
