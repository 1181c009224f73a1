// Package intake bounds what clients can make a process hold: connections (Guard), the bytes of request bodies (Budget), and the time
// for which a client may make no progress. Clients that are stuck give way to others. docs/design/intake.md explains the choices.
package intake

import "time"

const (
	// defaultHeaderTimeout, defaultIdleTimeout and defaultHeaderBytes apply if the configuration sets no limit.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderBytes   = MaxHeaderBytes
	// MaxHeaderBytes is the most that a configuration can allow for the headers of a request.
	MaxHeaderBytes = 64 << 10
	// MaxHeaderTimeout is the longest time that a configuration can allow for the headers of a request.
	MaxHeaderTimeout = time.Minute
	// BodyTimeout closes a connection that sends nothing more of a body. A client that sends slowly, but steadily, isn't affected;
	// a packet that is lost several times is sent again within this time.
	BodyTimeout = 10 * time.Second
	// WriteTimeout closes a connection whose client doesn't read a response.
	WriteTimeout = 10 * time.Second
	// StallTime is how long a body must have made no progress before it gives way to another one.
	StallTime = 500 * time.Millisecond
	// retryTime is how long a client should wait whose body found no room. It is longer than StallTime and a check.
	retryTime = time.Second
	// lingerTime is how long a connection stays open after a refusal, so that a client that still sends gets to read it.
	lingerTime = time.Second
	// tickPeriod is the interval at which connections are checked.
	tickPeriod = 500 * time.Millisecond
)

const (
	// defaultMemoryBytes and defaultDescriptors are assumed if the settings name neither.
	defaultMemoryBytes = 160 << 20
	defaultDescriptors = 4100
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// bodyShare and forwardedShare are the divisors of the memory that give the budgets for bodies of callers and for bodies that
	// other entries forward. Each body is copied once while it is forwarded or decoded, so that both together need up to half of the
	// memory.
	bodyShare      = 8
	forwardedShare = 8
	// callerShare, peerShare and serviceShare are the divisors of the descriptors for sockets that give the connections of callers,
	// of other entries, and of readiness checks and of metrics each. The rest is left to connections to the store, workers and
	// carriers.
	callerShare  = 8
	peerShare    = 2
	serviceShare = 32
)

// Plan is the share of a machine's memory and descriptors that clients may take.
type Plan struct {
	// BodyBytes and ForwardedBytes limit the sum of the bodies of callers, and of those that other entries forward.
	BodyBytes, ForwardedBytes int64
	// CallerConns, PeerConns, ReadinessConns and MetricsConns limit the open connections of each listener; at least 1.
	CallerConns, PeerConns, ReadinessConns, MetricsConns int
}

// NewPlan returns the plan for a machine with the given memory and descriptors; zero means that they are not known.
func NewPlan(memoryBytes int64, descriptors int) Plan {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	sockets := max(descriptors-fileDescriptors, serviceShare)
	return Plan{
		BodyBytes: memoryBytes / bodyShare, ForwardedBytes: memoryBytes / forwardedShare,
		CallerConns: sockets / callerShare, PeerConns: sockets / peerShare,
		ReadinessConns: sockets / serviceShare, MetricsConns: sockets / serviceShare,
	}
}

const (
	// sharedShare and publishShare are the divisors of the memory that give the budgets of "hibiscuslane serve" for the requests of other
	// entries, most of which wait for a slot, and for what operators publish, which is copied several times.
	sharedShare  = 4
	publishShare = 16
	// responseShare is the divisor of the memory that gives the room for large responses to callers.
	responseShare = 8
	// sharedConnBytes is what a connection of HTTP/2 holds beside its requests, and sharedConnShare the divisor of the memory for them.
	sharedConnBytes = 64 << 10
	sharedConnShare = 8
)

// EntryPlan is the share of a machine's memory and descriptors that clients of "hibiscuslane serve" may take.
type EntryPlan struct {
	// CallerBytes, PeerBytes and PublishBytes limit the sum of what callers, other entries and operators send.
	CallerBytes, PeerBytes, PublishBytes int64
	// ResponseBytes limits the sum of large responses to callers.
	ResponseBytes int64
	// CallerConns, PeerConns and AdminConns limit the open connections of each listener; at least 1.
	CallerConns, PeerConns, AdminConns int
}

// NewEntryPlan returns the plan for a machine with the given memory and descriptors; zero means that they are not known.
func NewEntryPlan(memoryBytes int64, descriptors int) EntryPlan {
	plan := NewPlan(memoryBytes, descriptors)
	memoryBytes = plan.BodyBytes * bodyShare
	return EntryPlan{
		CallerBytes: plan.BodyBytes, PeerBytes: memoryBytes / sharedShare, PublishBytes: memoryBytes / publishShare, ResponseBytes: memoryBytes / responseShare,
		CallerConns: plan.CallerConns, PeerConns: min(plan.PeerConns, int(memoryBytes/sharedConnShare/sharedConnBytes)), AdminConns: plan.MetricsConns,
	}
}

// Limits are the limits that the configuration sets for the connections of callers. Zero means the default.
type Limits struct {
	HeaderTimeout, IdleTimeout time.Duration
	HeaderBytes                int64
}

// withDefaults replaces limits that are not set, and lowers those that are too large.
func (l Limits) withDefaults() Limits {
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	l.HeaderTimeout = min(l.HeaderTimeout, MaxHeaderTimeout)
	l.HeaderBytes = min(l.HeaderBytes, MaxHeaderBytes)
	return l
}
