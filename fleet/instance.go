// Package fleet keeps which instances exist and which pool each belongs to, as a state folded from
// the log.
package fleet

import (
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
)

// Version counts the applied records of one instance, starting at 1 with its admit record.
type Version uint64

// Instance is a machine as the fleet stream knows it.
type Instance struct {
	ID      instance.ID      `json:"id"`
	Kind    instance.Kind    `json:"kind"`
	Address instance.Address `json:"address"`
	Centre  site.DataCentre  `json:"centre"`
	Rack    site.Rack        `json:"rack"`
	// Pool is the pool that the instance belongs to; it changes only by a join record.
	Pool pool.Name `json:"pool"`
	// Next is the pool after the reboot; it is set only while Phase is draining.
	NextPool pool.Name      `json:"next,omitempty"`
	Phase    instance.Phase `json:"phase"`
	// Incarnation never decreases.
	Incarnation instance.Incarnation `json:"incarnation"`
	Version     Version              `json:"version"`
	// Cores, Memory (MB) and Accelerators are set for workers.
	Cores        int `json:"cores,omitempty"`
	Memory       int `json:"memory,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
	// Joined is the time of the last admit or join record, and Since that of the last change of
	// phase, by the clocks of the authors. They serve scheduling only and never decide between
	// records.
	JoinedAt   Timestamp `json:"joined"`
	PhaseSince Timestamp `json:"since"`
}

// Timestamp is a time of a record in milliseconds since 1970. Unlike time.Time, each value has exactly one
// JSON form, so equal states have equal digests.
type Timestamp int64

// TimestampOf returns t as a record time.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// AsTime returns the time in the form of the standard library.
func (t Timestamp) AsTime() time.Time { return time.UnixMilli(int64(t)).UTC() }
