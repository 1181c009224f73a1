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

// Body is the typed body of a fleet record: Admit, Drain, Join, MarkLost or Remove.
type Body interface {
	// Kind returns the kind of record that carries the body.
	Kind() record.Kind
	// Header returns the instance that the record changes and the version that it is based on.
	Header() RecordHeader
	validate() error
}

// RecordHeader holds the fields common to all fleet records. A record applies only if Version is the
// current version of the instance.
type RecordHeader struct {
	ID instance.ID `json:"id"`
	// Version is the version of the instance that the author of the record saw. It is 0 for an instance
	// that was never admitted or whose removal has expired.
	Version Version `json:"version"`
	// Reason explains to operators why the record was written.
	Reason string `json:"reason,omitempty"`
}

// Header implements Body for the types that embed a RecordHeader.
func (h RecordHeader) Header() RecordHeader { return h }

// Admit adds an instance to the fleet. A removed instance can be admitted again under a higher
// incarnation; its version then continues from that of the removal.
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
	// MaxActive is the maximum number of active instances of the pool and kind, with this one. It is a precondition:
	// without it, two entries that admit different instances at the same time could each fill the last place of a
	// pool. 0 means no limit.
	MaxActive int `json:"ceiling,omitempty"`
}

// Drain stops new work on an active instance so that it can be rebooted. Its limits are preconditions
// on the pool and the failure domains of the instance. Without them, two entries that drain different
// instances at the same time could each respect the availability budget and together take the pool below it.
type Drain struct {
	RecordHeader
	// NextPool is the pool that the instance joins after its reboot.
	NextPool pool.Name `json:"next"`
	// MinActive is the minimum number of active instances of the same pool and kind that must remain.
	MinActive int `json:"floor"`
	// MaxDrainingInRack and MaxDrainingInCentre limit how many instances of any pool, including this one,
	// may be draining in the rack and in the data centre. 0 means no limit.
	MaxDrainingInRack   int `json:"rack,omitempty"`
	MaxDrainingInCentre int `json:"centre,omitempty"`
}

// Join returns a draining or lost instance to service under a higher incarnation. A draining instance
// must join the pool that its drain record named; a lost one may join any pool.
type Join struct {
	RecordHeader
	Pool        pool.Name            `json:"pool"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Address     instance.Address     `json:"address"`
	Centre      site.DataCentre      `json:"centre"`
	Rack        site.Rack            `json:"rack"`
}

// MarkLost declares that an active or draining instance has failed.
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

// Decode decodes and validates the body of a record of the fleet stream.
func Decode(envelope record.Envelope) (Body, error) {
	body, err := newBody(envelope.Kind)
	if err != nil {
		return nil, err
	}
	if err := record.DecodeBody(envelope, body); err != nil {
		return nil, err
	}
	if err := body.validate(); err != nil {
		return nil, err
	}
	return body, nil
}

func newBody(kind record.Kind) (Body, error) {
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

func (h RecordHeader) validate() error {
	return firstError(checkRequired("id", string(h.ID)), checkLength("reason", h.Reason))
}

func (b *Admit) validate() error {
	return firstError(
		b.RecordHeader.validate(),
		checkInstanceKind("type", b.InstanceKind),
		checkRequired("pool", string(b.Pool)),
		checkRequired("address", string(b.Address)),
		checkRequired("centre", string(b.Centre)),
		checkRequired("rack", string(b.Rack)),
		checkNotNegative("cores", b.Cores),
		checkNotNegative("memory", b.Memory),
		checkNotNegative("accelerators", b.Accelerators),
		checkNotNegative("ceiling", b.MaxActive),
	)
}

func (b *Drain) validate() error {
	return firstError(
		b.RecordHeader.validate(),
		checkRequired("next", string(b.NextPool)),
		checkNotNegative("floor", b.MinActive),
		checkNotNegative("rack", b.MaxDrainingInRack),
		checkNotNegative("centre", b.MaxDrainingInCentre),
	)
}

func (b *Join) validate() error {
	return firstError(
		b.RecordHeader.validate(),
		checkRequired("pool", string(b.Pool)),
		checkRequired("address", string(b.Address)),
		checkRequired("centre", string(b.Centre)),
		checkRequired("rack", string(b.Rack)),
	)
}

// maxTextBytes limits the length of each string in a record, so that a single record cannot inflate the
// state and its snapshots.
const maxTextBytes = 256

func checkRequired(field, value string) error {
	if value == "" {
		return &FieldError{Field: field, Rule: "is empty"}
	}
	return checkLength(field, value)
}

func checkLength(field, value string) error {
	if len(value) > maxTextBytes {
		return &FieldError{Field: field, Rule: "is longer than 256 bytes"}
	}
	return nil
}

func checkInstanceKind(field string, kind instance.Kind) error {
	if kind == instance.KindTarget || kind == instance.KindWorker {
		return nil
	}
	return &FieldError{Field: field, Rule: "is neither target nor worker"}
}

func checkNotNegative(field string, value int) error {
	if value < 0 {
		return &FieldError{Field: field, Rule: "is negative"}
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
