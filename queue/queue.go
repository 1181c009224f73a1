// Package queue defines the configuration of "hibiscuslane run" (Config): the queues to which callers submit
// jobs and the pools of workers that run the jobs. Package config defines that of "hibiscuslane serve".
package queue

import (
	"crypto/sha256"
	"sort"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/team"
)

// Name identifies a queue.
type Name string

// Version is the version number of a configuration. A later configuration has a higher version.
type Version int64

// Queue is a configured job queue.
type Queue struct {
	Name Name
	// Host and PathPrefix select the queue of a request: the host must be equal, and among the queues of the host,
	// the longest matching prefix wins.
	Host, PathPrefix string
	Pool             pool.Name
	// ResponseTimeout limits the time until a caller is answered. Zero means that the queue sets no limit.
	ResponseTimeout time.Duration
	// LatencyAllowance is the time that a job may take in addition to MaxStretch times its critical path.
	LatencyAllowance time.Duration
	// MaxStretch limits the duration of a job to a multiple of its critical path; beyond it, the job is late.
	MaxStretch float64
	// Priority orders queues; 0 is the highest. The platform allows tasks of a higher priority to preempt others, but
	// the scheduler only orders waiting tasks by priority.
	Priority int
	// MaxAttempts is the number of failed runs of one task at which the job fails; at least 1.
	MaxAttempts int
	// NeedsAdvice is set if only the advice service knows which workers may run a step of a job of this queue.
	NeedsAdvice bool
	// Public is set if requests need no key. The jobs of a public queue belong to no team.
	Public bool
}

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are neither kept nor logged.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Team is a configured team of callers.
type Team struct {
	Name team.Name
	// Keys identify the callers of the team. No other team has one of them. A team whose keys were all removed has none.
	Keys []KeyDigest
	// Weight is the share of a full pool that the team gets, relative to the weights of the other teams that have work.
	Weight float64
	// Maximum limits what the team has running in all pools together. A component of 0 sets no limit.
	Maximum task.Resources
}

// Pool is a configured pool of workers.
type Pool struct {
	Name pool.Name
	// EnforcesCapacity is set if the workers of the pool reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// Spare is set if the machines of the pool are switched off and cost nothing.
	Spare bool
}

// Config is one version of the configuration. Its queues and pools do not change after New has returned it. A nil
// Config has no queues and no pools.
type Config struct {
	Version Version
	// MaxBodyBytes is the maximum size of the body of a caller's request.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of the headers of a caller's request. Zero means that the configuration sets no limit.
	MaxHeaderBytes int64
	// HeaderTimeout limits the time for receiving the headers of a caller's request, and IdleTimeout the time for which a
	// connection stays open without a request. Zero means that the configuration sets no limit.
	HeaderTimeout, IdleTimeout time.Duration
	queuesByName               map[Name]Queue
	poolsByName                map[pool.Name]Pool
	queuesByHost               map[string][]Queue // the queues of each host, longest prefix first
	// teamsByName is nil if the configuration has no teams; requests then need no key.
	teamsByName map[team.Name]Team
	teamsByKey  map[KeyDigest]team.Name
}

// New returns a configuration with the given queues and pools.
func New(version Version, queues []Queue, pools []Pool) *Config {
	c := &Config{Version: version, queuesByName: map[Name]Queue{}, poolsByName: map[pool.Name]Pool{}, queuesByHost: map[string][]Queue{}}
	for _, p := range pools {
		c.poolsByName[p.Name] = p
	}
	for _, q := range queues {
		c.queuesByName[q.Name] = q
		c.queuesByHost[q.Host] = append(c.queuesByHost[q.Host], q)
	}
	for _, list := range c.queuesByHost {
		sort.Slice(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c
}

// SetTeams adds the teams to a configuration that is not in use yet. With teams, even if the list is empty, every request to a
// queue that is not public needs a key.
func (c *Config) SetTeams(teams []Team) {
	c.teamsByName, c.teamsByKey = map[team.Name]Team{}, map[KeyDigest]team.Name{}
	for _, t := range teams {
		c.teamsByName[t.Name] = t
		for _, key := range t.Keys {
			c.teamsByKey[key] = t.Name
		}
	}
}

// HasTeams reports whether requests to queues that are not public need a key.
func (c *Config) HasTeams() bool { return c != nil && c.teamsByName != nil }

// Team returns the team with the given name.
func (c *Config) Team(name team.Name) (Team, bool) {
	if c == nil {
		return Team{}, false
	}
	t, ok := c.teamsByName[name]
	return t, ok
}

// TeamOfKey returns the name of the team that has the key with the given digest.
func (c *Config) TeamOfKey(digest KeyDigest) (team.Name, bool) {
	if c == nil {
		return "", false
	}
	name, ok := c.teamsByKey[digest]
	return name, ok
}

// Admit returns the team to which a request to a queue belongs: none if the queue is public or the configuration has no teams. It
// returns false if the request needs a key and the digest is not that of a known one; it is empty if the request has no key.
func (c *Config) Admit(name Name, digest []byte) (team.Name, bool) {
	if q, _ := c.Queue(name); q.Public || !c.HasTeams() {
		return "", true
	}
	if len(digest) != sha256.Size {
		return "", false
	}
	return c.TeamOfKey(KeyDigest(digest))
}

// Admission is what an owner decides about a request that an entry has admitted.
type Admission string

// Admissions.
const (
	Admitted Admission = "admitted"
	// Unauthorized means that the key is not, or no longer, that of a team.
	Unauthorized Admission = "unauthorized"
	// Unready means that the owner cannot tell the team yet: it does not have the configuration with the team, or the entry does
	// not send keys.
	Unready Admission = "unready"
)

// AdmitForwarded decides at the owner, whose configuration c is, about a request that an entry has admitted for a team by its
// configuration with the given version. The later of both configurations counts. It returns the team of the request. It answers
// keys that a version takes away while an entry is cut off from the store and still has the version before.
func (c *Config) AdmitForwarded(version Version, name Name, admitted team.Name, digest []byte) (team.Name, Admission) {
	if c != nil && c.Version > version {
		current, ok := c.Admit(name, digest)
		switch {
		case ok:
			return current, Admitted
		case version == 0 && len(digest) == 0: // an entry whose program knows no teams, and not Unauthorized either
			return "", Unready
		}
		return "", Unauthorized
	}
	if _, ok := c.Team(admitted); admitted != "" && !ok {
		return "", Unready
	}
	return admitted, Admitted
}

// Match returns the queue for a request and the part of the path after the queue's prefix. It returns false if no
// queue matches.
func (c *Config) Match(host, path string) (Queue, string, bool) {
	if c == nil {
		return Queue{}, "", false
	}
	for _, q := range c.queuesByHost[host] {
		if rest, ok := strings.CutPrefix(path, q.PathPrefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// Queue returns the queue with the given name.
func (c *Config) Queue(name Name) (Queue, bool) {
	if c == nil {
		return Queue{}, false
	}
	q, ok := c.queuesByName[name]
	return q, ok
}

// Pool returns the pool with the given name.
func (c *Config) Pool(name pool.Name) (Pool, bool) {
	if c == nil {
		return Pool{}, false
	}
	p, ok := c.poolsByName[name]
	return p, ok
}

// Pools returns all pools sorted by name.
func (c *Config) Pools() []Pool {
	if c == nil {
		return nil
	}
	list := make([]Pool, 0, len(c.poolsByName))
	for _, p := range c.poolsByName {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// HasQueueFor reports whether any queue sends its jobs to the pool.
func (c *Config) HasQueueFor(name pool.Name) bool {
	if c == nil {
		return false
	}
	for _, q := range c.queuesByName {
		if q.Pool == name {
			return true
		}
	}
	return false
}
