// Package carrier lets other entries carry the calls of the owner to its workers in "hibiscuslane run". The owner decides
// and keeps all state; a carrier only sends the calls that it is given and returns the results, many in one message. The
// owner holds a Session to each carrier that Choose has named, and a Server is the other end of it.
//
// A carrier may send a call only while its permission lasts. Each message of the owner returns the newest stamp that the
// owner has received; the permission ends permissionTime after the carrier took that stamp, on a clock that does not stop
// while the carrier is paused. A carrier that wakes from a pause, or reads a message that was held up, therefore drops the
// calls. What a call without a result means is up to the owner, as with its own calls: it may have been carried out.
package carrier

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// permissionTime is how long after a stamp a carrier may send the calls that came with it. It covers the interval
	// between two stamps and the delays of a busy owner, and is shorter than any lease.
	permissionTime = time.Second
	// stampInterval is the interval at which a carrier sends a stamp if it has no results.
	stampInterval = 200 * time.Millisecond
	// silenceTimeout is how long a carrier may send nothing before the owner gives it up.
	silenceTimeout = 700 * time.Millisecond
	// pingInterval is the interval at which an owner sends a message if it has no calls, and ownerTimeout how long an owner
	// may send nothing before a carrier ends the session. A connection can go silent without an error.
	pingInterval = time.Second
	ownerTimeout = 3 * time.Second
	// resultDelay is how long a carrier collects results before it sends them.
	resultDelay = 10 * time.Millisecond
	// maxMessageBytes limits a message. The payload of a job has some kilobytes at most, and a message holds the calls of
	// one cycle of the owner.
	maxMessageBytes = 4 << 20
	// writeTimeout bounds the sending of one message.
	writeTimeout = time.Second

	// perCentre is the number of carriers in one data centre, and minSizeShare the share of the cores of the largest member
	// that a carrier has at least. A slowed instance states fewer cores. Instances count as slowed from a factor of 2 on (package
	// speed), and may vary about it for long; those must stay, since the others would get all of their workers.
	perCentre    = 3
	minSizeShare = 0.35
)

// Member is an entry that may carry calls.
type Member struct {
	// ID names one incarnation of the process.
	ID      string
	Address instance.Address
	Centre  site.DataCentre
	// Cores is its processor capacity at present, in cores.
	Cores float64
}

// Choose returns the members that carry calls: the largest ones of each data centre, up to perCentre. Between equal ones,
// the order of their ids decides, so that the choice changes only if the members do.
func Choose(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.ID, b.ID))
	})
	var chosen []Member
	count := map[site.DataCentre]int{}
	for _, m := range sorted {
		if m.Cores < minSizeShare*sorted[0].Cores || count[m.Centre] == perCentre {
			continue
		}
		count[m.Centre]++
		chosen = append(chosen, m)
	}
	return chosen
}

// Assign returns the session that carries the calls to a worker; nil if there is none. It prefers sessions in the data
// centre of the worker and chooses among them by rendezvous hashing, so that the loss of one moves only its workers.
func Assign(sessions []*Session, id worker.ID, centre site.DataCentre) *Session {
	var best *Session
	var highest uint64
	isLocal := false
	for _, s := range sessions {
		local := s.member.Centre == centre
		if !s.IsOpen() || isLocal && !local {
			continue
		}
		score := xxhash.Sum64String(s.member.ID + " " + string(id))
		if best == nil || local && !isLocal || score > highest {
			best, highest, isLocal = s, score, local
		}
	}
	return best
}
