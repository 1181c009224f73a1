// Package draft checks a configuration of "hibiscuslane run" before it is published (Check) and compares it with the version in
// force (Compare). Package config checks the files of "hibiscuslane serve".
package draft

import (
	"fmt"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/queue"
)

// Section is a part of a configuration.
type Section string

// Sections of a configuration. The empty one is the configuration itself.
const (
	SectionQueues Section = "queues"
	SectionPools  Section = "pools"
	SectionTeams  Section = "teams"
	SectionLimits Section = "limits"
)

// Field names a field of a section in a finding; package platform knows what the published form calls it.
type Field string

// Fields that findings are about.
const (
	FieldVersion       Field = "version"
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldPool          Field = "pool"
	FieldTimeout       Field = "timeout"
	FieldStretch       Field = "stretch"
	FieldAllowance     Field = "allowance"
	FieldPriority      Field = "priority"
	FieldAttempts      Field = "attempts"
	FieldPublic        Field = "public"
	FieldAdvice        Field = "advice"
	FieldEnforces      Field = "enforces"
	FieldSpare         Field = "spare"
	FieldKeys          Field = "keys"
	FieldWeight        Field = "weight"
	FieldMaximum       Field = "maximum"
	FieldBody          Field = "body"
	FieldHeaderTimeout Field = "header"
	FieldIdleTimeout   Field = "idle"
)

// Severity says whether a configuration with the finding may be published.
type Severity string

// Severities.
const (
	SeverityError   Severity = "error"   // entries refuse the configuration, or an entry of it can never work
	SeverityWarning Severity = "warning" // it works, but hardly as intended
)

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity
	Section  Section
	// Index is the position of the element in its section; negative if the finding is about the section.
	Index int
	// Field is empty if the finding is about the whole element.
	Field  Field
	Reason string
}

// Config is a configuration as it was written: in its order and with its faults.
type Config struct {
	Version queue.Version
	Queues  []queue.Queue
	Pools   []queue.Pool
	// Teams is nil if the configuration has no list of teams.
	Teams []queue.Team
	// MaxBodyBytes, HeaderTimeout and IdleTimeout are those of queue.Config.
	MaxBodyBytes               int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Deployment holds what the settings of the deployment say about the limits of a configuration. A field of zero is not known.
type Deployment struct {
	// MaxLease is the longest lease of a worker.
	MaxLease time.Duration
	// StoreRecordBytes is the size of the largest record that the store accepts.
	StoreRecordBytes int
}

// jobIDDigits are the characters of which job ids consist.
const jobIDDigits = "0123456789abcdefABCDEF"

// check collects the findings about one configuration.
type check struct {
	config   *Config
	findings []Finding
}

func (c *check) add(severity Severity, section Section, index int, field Field, format string, values ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Section: section, Index: index, Field: field, Reason: fmt.Sprintf(format, values...)})
}

// Check returns the faults of a configuration, those of queues first.
func Check(config *Config, deployment Deployment) []Finding {
	c := &check{config: config}
	for i := range config.Queues {
		c.checkQueue(i, deployment)
		c.checkMatch(i)
	}
	c.checkPools()
	c.checkTeams()
	c.checkLimits(deployment)
	return c.findings
}

// checkQueue checks the name and the pool of a queue, and what it promises its callers.
func (c *check) checkQueue(i int, deployment Deployment) {
	q := &c.config.Queues[i]
	fault := func(field Field, format string, values ...any) {
		c.add(SeverityError, SectionQueues, i, field, format, values...)
	}
	if q.Name == "" {
		fault(FieldName, "is empty")
	}
	for k := range i {
		if c.config.Queues[k].Name == q.Name {
			fault(FieldName, "is that of an earlier queue, too")
			break
		}
	}
	p, ok := c.pool(q)
	switch {
	case !ok:
		fault(FieldPool, "there is no pool %q: jobs would wait for ever", q.Pool)
	case p.Spare:
		fault(FieldPool, "the machines of pool %q are switched off: jobs would wait for ever", q.Pool)
	}
	c.checkService(i, deployment)
}

// checkService checks what a queue promises its callers.
func (c *check) checkService(i int, deployment Deployment) {
	q := &c.config.Queues[i]
	fault := func(field Field, reason string) { c.add(SeverityError, SectionQueues, i, field, "%s", reason) }
	warn := func(field Field, format string, values ...any) {
		c.add(SeverityWarning, SectionQueues, i, field, format, values...)
	}
	if q.MaxAttempts < 1 {
		warn(FieldAttempts, "is below 1 and counts as 1: the first failed run of a task fails its job")
	}
	if q.Priority < 0 {
		fault(FieldPriority, "is below 0, the highest priority")
	}
	if q.MaxStretch < 1 && q.LatencyAllowance <= 0 {
		fault(FieldStretch, "is below 1 without a latency allowance: every job is late")
	} else if q.MaxStretch <= 1 && q.LatencyAllowance <= 0 {
		warn(FieldStretch, "leaves no slack without a latency allowance: a job that waits at all is late")
	}
	if q.LatencyAllowance < 0 {
		fault(FieldAllowance, "is below 0")
	}
	switch {
	case q.ResponseTimeout < 0:
		fault(FieldTimeout, "is below 0")
	case deployment.MaxLease > 0 && q.ResponseTimeout > deployment.MaxLease:
		warn(FieldTimeout, "%v is longer than the longest lease of a worker, %v: a caller may wait for an owner that was replaced", q.ResponseTimeout, deployment.MaxLease)
	}
}

// pool returns the pool of a queue.
func (c *check) pool(q *queue.Queue) (queue.Pool, bool) {
	for _, p := range c.config.Pools {
		if p.Name == q.Pool {
			return p, true
		}
	}
	return queue.Pool{}, false
}

// checkMatch checks whether requests can reach a queue.
func (c *check) checkMatch(i int) {
	q := &c.config.Queues[i]
	switch {
	case q.Host == "" || strings.ContainsAny(q.Host, "/ \t"):
		c.add(SeverityError, SectionQueues, i, FieldHost, "%q is not the host of any request: the queue can never match", q.Host)
	case strings.ToLower(q.Host) != q.Host:
		c.add(SeverityWarning, SectionQueues, i, FieldHost, "has capitals, and hosts are compared as they are sent: most clients send small letters")
	}
	switch {
	case !strings.HasPrefix(q.PathPrefix, "/"):
		c.add(SeverityError, SectionQueues, i, FieldPrefix, "%q does not begin with /: the queue can never match", q.PathPrefix)
	case !strings.HasSuffix(q.PathPrefix, "/"):
		c.add(SeverityWarning, SectionQueues, i, FieldPrefix, "does not end with /: the id of a job follows at once")
	}
	for k := range c.config.Queues {
		other := &c.config.Queues[k]
		if k == i || other.Host != q.Host {
			continue
		}
		rest, isLonger := strings.CutPrefix(other.PathPrefix, q.PathPrefix)
		switch {
		case rest == "" && isLonger && k < i:
			c.add(SeverityError, SectionQueues, i, FieldPrefix, "host and prefix are those of queue %q, too: only one of the two can match", other.Name)
		case rest != "" && isLonger && strings.Trim(rest, jobIDDigits) == "":
			c.add(SeverityWarning, SectionQueues, i, FieldPrefix, "queue %q takes the requests for jobs whose id begins with %s", other.Name, rest)
		}
	}
}

// checkPools checks the pools and whether anything uses them.
func (c *check) checkPools() {
	spares := 0
	for i, p := range c.config.Pools {
		if p.Name == "" {
			c.add(SeverityError, SectionPools, i, FieldName, "is empty")
		}
		for _, earlier := range c.config.Pools[:i] {
			if earlier.Name == p.Name {
				c.add(SeverityError, SectionPools, i, FieldName, "is that of an earlier pool, too")
				break
			}
		}
		if p.Spare {
			if spares++; spares > 1 {
				c.add(SeverityWarning, SectionPools, i, FieldSpare, "is a second spare pool; idle machines go to one of them only")
			}
			continue
		}
		if !c.isUsed(p) {
			c.add(SeverityWarning, SectionPools, i, "", "no queue sends jobs to pool %q", p.Name)
		}
	}
}

// isUsed reports whether a queue sends jobs to a pool.
func (c *check) isUsed(p queue.Pool) bool {
	for _, q := range c.config.Queues {
		if q.Pool == p.Name {
			return true
		}
	}
	return false
}

// checkTeams checks the teams and whether callers can use anything. The rules for their fields are those of
// platform.ParseConfig, which reports only the first fault.
func (c *check) checkTeams() {
	if c.config.Teams == nil {
		return
	}
	owners := map[queue.KeyDigest]int{}
	keys := 0
	for i, t := range c.config.Teams {
		fault := func(field Field, format string, values ...any) {
			c.add(SeverityError, SectionTeams, i, field, format, values...)
		}
		if t.Name == "" {
			fault(FieldName, "is empty")
		}
		for _, earlier := range c.config.Teams[:i] {
			if earlier.Name == t.Name {
				fault(FieldName, "is that of an earlier team, too")
				break
			}
		}
		for n, key := range t.Keys {
			if owner, ok := owners[key]; ok && owner != i {
				fault(FieldKeys, "number %d is a key of team %q, too", n, c.config.Teams[owner].Name)
			}
			owners[key] = i
			if key == queue.DigestKey("") {
				fault(FieldKeys, "number %d is empty", n)
			}
		}
		keys += len(t.Keys)
		if len(t.Keys) == 0 {
			c.add(SeverityWarning, SectionTeams, i, FieldKeys, "team %q has no key and may use public queues only", t.Name)
		}
		if t.Weight < 0 {
			fault(FieldWeight, "is below 0")
		}
		if t.Maximum.CPU < 0 || t.Maximum.Memory < 0 || t.Maximum.GPU < 0 {
			fault(FieldMaximum, "is below 0")
		}
	}
	c.checkKeysNeeded(keys)
}

// checkKeysNeeded checks whether there is a caller for each queue and a queue for the teams.
func (c *check) checkKeysNeeded(keys int) {
	closed := 0
	for i, q := range c.config.Queues {
		if q.Public {
			continue
		}
		closed++
		if keys == 0 {
			c.add(SeverityWarning, SectionQueues, i, FieldPublic, "is not set, and no team has a key: nobody may use the queue")
		}
	}
	if closed == 0 && len(c.config.Queues) > 0 && len(c.config.Teams) > 0 {
		c.add(SeverityWarning, SectionTeams, -1, "", "all queues are public: teams have no effect")
	}
}

// checkLimits checks the limits of requests.
func (c *check) checkLimits(deployment Deployment) {
	limits := c.config
	for _, l := range []struct {
		field Field
		value int64
	}{{FieldBody, limits.MaxBodyBytes}, {FieldHeaderTimeout, int64(limits.HeaderTimeout)}, {FieldIdleTimeout, int64(limits.IdleTimeout)}} {
		if l.value < 0 {
			c.add(SeverityError, SectionLimits, -1, l.field, "is below 0")
		}
	}
	if deployment.StoreRecordBytes > 0 && limits.MaxBodyBytes > int64(deployment.StoreRecordBytes) {
		c.add(SeverityWarning, SectionLimits, -1, FieldBody, "is more than the store takes in a record, %d bytes: larger jobs are rejected", deployment.StoreRecordBytes)
	}
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		c.add(SeverityWarning, SectionLimits, -1, FieldIdleTimeout, "is shorter than the time for headers: a connection may be closed while a request arrives")
	}
}
