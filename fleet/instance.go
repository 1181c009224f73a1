// Package fleet maintains the set of instances and the pool of each. State is derived from the records
// of the fleet stream in the log. Only "hibiscuslane serve" uses it; in "hibiscuslane run", the
// platform itself lists the machines and their pools (platform.Fleet).
package fleet

import (
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
)

// Version is the number of records applied to an instance. Its first admit record gives it version 1.
type Version uint64

// Instance is the state of one instance according to the fleet stream.
type Instance struct {
	ID      instance.ID      `json:"id"`
	Kind    instance.Kind    `json:"kind"`
	Address instance.Address `json:"address"`
	Centre  site.DataCentre  `json:"centre"`
	Rack    site.Rack        `json:"rack"`
	// Pool is the pool that the instance belongs to. Only a join record changes it.
	Pool pool.Name `json:"pool"`
	// NextPool is the pool that the instance joins after its reboot. It is set only while Phase is
	// draining.
	NextPool pool.Name      `json:"next,omitempty"`
	Phase    instance.Phase `json:"phase"`
	// Incarnation is the incarnation of the last admit or join record. It never decreases.
	Incarnation instance.Incarnation `json:"incarnation"`
	Version     Version              `json:"version"`
	// Cores, Memory (MB) and Accelerators are set for workers.
	Cores        int `json:"cores,omitempty"`
	Memory       int `json:"memory,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
	// JoinedAt is the time of the last admit or join record, PhaseSince that of the last change of Phase.
	// Both come from the clocks of the record authors, so they are used for scheduling only and never to
	// decide whether a record applies.
	JoinedAt   Timestamp `json:"joined"`
	PhaseSince Timestamp `json:"since"`
}

// Timestamp is the time of a record in milliseconds since the Unix epoch. Unlike time.Time, each value
// has exactly one JSON encoding, so equal states have equal digests.
type Timestamp int64

// TimestampOf converts t to a Timestamp.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// AsTime converts the timestamp to a time.Time in UTC.
func (t Timestamp) AsTime() time.Time { return time.UnixMilli(int64(t)).UTC() }
