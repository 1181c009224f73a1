// Package admin implements the administration API of an entry: the HTTP handlers (Handler) and a client
// (Client). Only entries of "hibiscuslane serve" have this API; those of "hibiscuslane run" read what
// the operator publishes from the platform's store (package operator).
package admin

import (
	"context"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
)

// Paths of the administration API.
const (
	PathConfig = "/config"
	PathAudit  = "/audit"
	PathStatus = "/status"
)

// Configuration is the published configuration as the handlers need it; *config.State implements it.
type Configuration interface {
	Overview() (record.Offset, []config.Published, map[site.Name]*config.Settings)
	Version() record.Offset
	Preview(p config.Publish) (config.Difference, error)
	CheckConflicts(p config.Publish) error
}

// Publisher appends a record to the log and waits for its verdict; *stream.Proposer implements it.
type Publisher interface {
	Propose(ctx context.Context, kind record.Kind, author record.Author, body any) (record.Offset, error)
}

// StatusProvider returns the status of the entry.
type StatusProvider interface {
	Status() Status
}

// ConfigResponse is the response to GET /config.
type ConfigResponse struct {
	// Version is the offset of the last applied publish; -1 if there is none.
	Version record.Offset                  `json:"version"`
	Files   []config.Published             `json:"files"`
	Sites   map[site.Name]*config.Settings `json:"sites"`
}

// PublishRequest is the body of POST /config.
type PublishRequest struct {
	Files  []config.FileChange `json:"files"`
	Author record.Author       `json:"author"`
	Reason string              `json:"reason"`
}

// PublishResponse is the response to POST /config.
type PublishResponse struct {
	// Version is the offset of the publish and the new version of its files; -1 for a dry run.
	Version record.Offset `json:"version"`
	DryRun  bool          `json:"dry,omitempty"`
	// Difference lists what the publish changes in the settings that were in force when the request arrived.
	// It is absent if the entry had not yet read the versions that the publish is based on.
	Difference *config.Difference `json:"difference,omitempty"`
}

// Status is the response to GET /status.
type Status struct {
	ID          instance.ID          `json:"id"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Centre      site.DataCentre      `json:"centre"`
	Ready       bool                 `json:"ready"`
	// Reason says why the entry is not ready.
	Reason string `json:"reason,omitempty"`
	// ConfigVersion is the version of the configuration in force at this entry.
	ConfigVersion record.Offset `json:"version"`
	// Offsets maps each stream to the offset of the next record to apply.
	Offsets   map[record.Stream]record.Offset `json:"offsets"`
	Peers     []PeerStatus                    `json:"peers"`
	Pools     []PoolStatus                    `json:"pools"`
	Instances []fleet.Instance                `json:"instances"`
}

// PeerStatus is what an entry knows about one of its peers.
type PeerStatus struct {
	ID          instance.ID          `json:"id"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Centre      site.DataCentre      `json:"centre"`
	// ConfigVersion is the version of the configuration that the peer reported as in force.
	ConfigVersion record.Offset `json:"version"`
	// SilenceMillis is the time since the last report of the peer, in milliseconds.
	SilenceMillis int64 `json:"silence"`
}

// PoolStatus holds the configuration of a pool at a site and the number of its instances in each phase.
type PoolStatus struct {
	Site    site.Name   `json:"site"`
	Pool    pool.Name   `json:"pool"`
	Spec    pool.Spec   `json:"spec"`
	Targets PhaseCounts `json:"targets"`
	Workers PhaseCounts `json:"workers"`
}

// PhaseCounts holds the number of instances in each phase.
type PhaseCounts struct {
	Active   int `json:"active"`
	Draining int `json:"draining"`
	Lost     int `json:"lost"`
}
