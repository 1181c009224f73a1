package settings

import (
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/site"
)

// DefaultDirectWorkers is the default of Deployment.DirectWorkers. Below it, a call with one hop less is worth more to the
// callers than the processor time that a carrier saves.
const DefaultDirectWorkers = 300

// DefaultStoreRecordBytes is the default of Deployment.StoreRecordBytes.
const DefaultStoreRecordBytes = 256 << 10

// DefaultMachineOrderRate is the default of Deployment.MachineOrderRate. It is the lowest rate that the platform documents.
const DefaultMachineOrderRate = 64

// Deployment holds the settings of an entry on the users' platform, which provides them.
type Deployment struct {
	ID     instance.ID
	Centre site.DataCentre
	// The entry listens on CallerAddress for requests, on ReadinessAddress for readiness checks and on
	// PeerAddress for calls from its peers.
	CallerAddress, ReadinessAddress, PeerAddress instance.Address
	// StoreAddress, FleetAddress and AdvisorAddress are the addresses of services of the platform.
	// AdvisorAddress is empty if there is no advisor.
	StoreAddress, FleetAddress, AdvisorAddress instance.Address
	// StoreRecordBytes is the size of the largest record that the store accepts; zero means DefaultStoreRecordBytes.
	StoreRecordBytes int
	// MachineOrderRate is the number of orders for machines per second that the platform accepts from all entries together; zero means
	// DefaultMachineOrderRate.
	MachineOrderRate float64
	// Cores is the processor capacity that the process may use, in ordinary cores; it may be less than one.
	Cores float64
	// MemoryBytes is the memory that the process may use; zero if it is not known.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may have open, 200 of which are reserved for files; zero if it is
	// not known.
	MaxDescriptors int
	// DirectWorkers is the number of workers per core up to which an owner calls its workers itself; zero means
	// DefaultDirectWorkers. With more, other entries carry the calls.
	DirectWorkers float64
	// YieldLate makes an owner let jobs that can't be in time wait while another pool lacks machines for jobs that can.
	YieldLate bool
	// LearnInterference makes an owner learn which tasks slow each other down, and keep them apart where there is room.
	LearnInterference bool
	Timings           Timings
}

// Timings holds the time limits and durations that the platform specifies.
type Timings struct {
	// StopGracePeriod is the time between the request to stop a process and its forced termination.
	StopGracePeriod time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// StatusRetention is how long the status of a job can be queried after the job has ended.
	StatusRetention time.Duration
	// HolderChangeInterval is the least time between orders of two different processes for the same
	// machine.
	HolderChangeInterval time.Duration
	// MoveDuration and MaintenanceDuration are how long a machine is unavailable during a move and during
	// maintenance.
	MoveDuration, MaintenanceDuration time.Duration
}
