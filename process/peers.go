package process

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"hibiscuslane.example/hibiscuslane/carrier"
	"hibiscuslane.example/hibiscuslane/dispatch"
	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/ingress"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/team"
)

const (
	// heartbeatPeriod is the interval between heartbeats to the owner.
	heartbeatPeriod = 350 * time.Millisecond
	// smallHeartbeatPeriod replaces heartbeatPeriod on instances that are smaller than the largest one. They replace an
	// owner only if no larger instance does, and there are up to ten times as many of them.
	smallHeartbeatPeriod = 700 * time.Millisecond
	// smallInstanceRatio is the share of the cores of the largest member below which an instance is smaller.
	smallInstanceRatio = 0.9
	// heartbeatTimeout bounds one heartbeat. Peers usually answer within a few milliseconds, and a slow one
	// within about ten.
	heartbeatTimeout = 500 * time.Millisecond
	// heartbeatRetryDelay replaces heartbeatPeriod while no owner is known or the owner is suspected of having
	// failed. suspicionTimeout bounds a heartbeat to a suspected owner. Together they set the precision with which
	// members observe their candidacy delays.
	heartbeatRetryDelay = 50 * time.Millisecond
	suspicionTimeout    = 200 * time.Millisecond
	// probeAfter is how long the store may be silent before an owner asks its peers to try to reach it. A
	// success counts for probeValidity.
	probeAfter        = 700 * time.Millisecond
	probeValidity     = time.Second
	millicoresPerCore = 1000
	// defaultLargestCores is assumed to be the size of the largest instance until the owner reports it. A
	// process with that many cores claims a vacant ownership immediately; the fewer cores it has, the longer
	// it waits, up to maxCandidacyDelay.
	defaultLargestCores = 0.8
	maxCandidacyDelay   = 1500 * time.Millisecond
	// maxVoters is the number of other members that vote before the owner is replaced.
	maxVoters = 3
	// ownerConnectTimeout is how long an entry waits for a connection to the owner, which takes some milliseconds unless the owner's
	// machine is gone.
	ownerConnectTimeout = 250 * time.Millisecond
	// noOwnerRetryDelay is how long a caller should wait before it retries a request that was refused because
	// no owner is known or reachable.
	noOwnerRetryDelay = time.Second
	// unknownTeamRetryDelay is how long a caller should wait whose team the owner cannot tell yet. An owner that reaches the store
	// has the configuration with the team within about that time.
	unknownTeamRetryDelay = time.Second
)

// candidacyDelayOf returns how long a process waits before it claims a vacant ownership, given its cores and
// those of the largest member.
func candidacyDelayOf(cores, largest election.Cores) time.Duration {
	return time.Duration(max(0, 1-float64(cores/largest)) * float64(maxCandidacyDelay))
}

// currentCores returns the cores that this process has at present.
func (p *Process) currentCores() election.Cores {
	return election.Cores(p.currentSettings().Cores / p.speed.Factor())
}

// heartbeatInterval returns the interval between the heartbeats of this process.
func (p *Process) heartbeatInterval() time.Duration {
	p.mu.Lock()
	largest := p.largestCores
	p.mu.Unlock()
	if p.currentCores() < smallInstanceRatio*largest {
		return smallHeartbeatPeriod
	}
	return heartbeatPeriod
}

// measureSpeed measures the speed of this process, unless it did so less than heartbeatPeriod ago, and applies it to the
// candidacy delay. It returns the time of the latest measurement.
func (p *Process) measureSpeed(measuredAt time.Time) time.Time {
	now := p.clock.Now()
	if now.Sub(measuredAt) < heartbeatPeriod {
		return measuredAt
	}
	before := p.speed.Factor()
	p.speed.Sample(p.clock.Now)
	if after := p.speed.Factor(); (before > 1) != (after > 1) {
		p.log.Info(eventSpeedChanged, "factor", after, "before", before)
	}
	p.mu.Lock()
	largest := p.largestCores
	p.mu.Unlock()
	p.elector.SetCandidacyDelay(candidacyDelayOf(p.currentCores(), largest))
	return now
}

// relayServer serves peers.
type relayServer struct{ process *Process }

// Call implements relay.Relay.
func (s *relayServer) Call(ctx context.Context, request *relay.Request) (*relay.Reply, error) {
	d := s.process.dispatcher()
	if d == nil {
		return &relay.Reply{Verdict: relay.Verdict_ELSEWHERE, Owner: string(s.process.elector.Owner())}, nil
	}
	callCtx, cancel := s.process.clock.WithTimeout(ctx, time.Duration(request.Patience)*time.Millisecond)
	defer cancel()
	return handleRequest(callCtx, s.process.follower.Config(), d, request), nil
}

// jobServer carries out the requests of callers; it is the dispatcher of the owner.
type jobServer interface {
	Submit(ctx context.Context, name queue.Name, owner team.Name, id task.JobID, spec task.Spec) *relay.Reply
	Cancel(ctx context.Context, id task.JobID) *relay.Reply
	JobState(ctx context.Context, id task.JobID) *relay.Reply
	CountWaitingJobs(ctx context.Context, name queue.Name) *relay.Reply
}

// handleRequest carries out a caller's request at the owner, whose configuration in force is given, unless that does not admit
// the caller.
func handleRequest(ctx context.Context, config *queue.Config, d jobServer, request *relay.Request) *relay.Reply {
	id := task.JobID(request.Job)
	owner, admission := config.AdmitForwarded(queue.Version(request.Version), queue.Name(request.Queue), team.Name(request.Team), request.Digest)
	switch admission {
	case queue.Admitted:
	case queue.Unauthorized:
		return &relay.Reply{Verdict: relay.Verdict_UNAUTHORIZED, Reason: "unknown key by version " + strconv.FormatInt(int64(config.Version), 10)}
	case queue.Unready:
		return &relay.Reply{Verdict: relay.Verdict_REFUSED, Reason: "the owner cannot tell the team of the caller yet", Again: unknownTeamRetryDelay.Milliseconds()}
	}
	switch request.Verb {
	case relay.Verb_SUBMIT:
		spec, err := platform.ParseJob(request.Body)
		if err != nil {
			return &relay.Reply{Verdict: relay.Verdict_INVALID, Reason: err.Error()}
		}
		return d.Submit(ctx, queue.Name(request.Queue), owner, id, spec)
	case relay.Verb_CANCEL:
		return d.Cancel(ctx, id)
	case relay.Verb_STATE:
		return d.JobState(ctx, id)
	case relay.Verb_WAITING:
		return d.CountWaitingJobs(ctx, queue.Name(request.Queue))
	}
	return &relay.Reply{Verdict: relay.Verdict_INVALID, Reason: "unknown verb"}
}

// Beat implements relay.Relay.
func (s *relayServer) Beat(_ context.Context, heartbeat *relay.Sign) (*relay.Notice, error) {
	p := s.process
	response := &relay.Notice{Self: string(p.elector.Member), Owner: string(p.elector.Owner()), Silence: -1}
	p.mu.Lock()
	if !p.ownerRespondedAt.IsZero() {
		response.Silence = p.clock.Since(p.ownerRespondedAt).Milliseconds()
	}
	p.mu.Unlock()
	if document, offset := p.follower.Document(); int64(offset) > heartbeat.Config {
		response.Document, response.Config = document, int64(offset)
	}
	d := p.dispatcher()
	if d == nil {
		response.Release = p.elector.HasResigned()
		return response, nil
	}
	response.Silence = 0
	response.Members, response.Cores = p.recordHeartbeat(heartbeat)
	response.Probe = p.elector.StoreSilence() > probeAfter
	if reason := p.resignReason(d, heartbeat); reason != "" {
		p.elector.Resign(reason)
		response.Release = true
	}
	return response, nil
}

// resignReason returns why this owner resigns in favour of the sender of a heartbeat; empty if it does not.
func (p *Process) resignReason(d *dispatch.Dispatcher, heartbeat *relay.Sign) string {
	tenure := d.Tenure()
	tenure.Cores, tenure.IsSlowed, tenure.StoreSilence = p.currentCores(), p.speed.Factor() > 1, p.elector.StoreSilence()
	return tenure.ResignReason(election.Peer{Cores: election.Cores(heartbeat.Cores) / millicoresPerCore, ReachesStore: heartbeat.Store})
}

// memberState is what the owner knows about another member.
type memberState struct {
	// lastHeartbeat is when the member last sent a heartbeat.
	lastHeartbeat time.Time
	millicores    int64
	centre        site.DataCentre
}

// carrierMembers returns the members that have sent a heartbeat recently.
func (p *Process) carrierMembers() []carrier.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var members []carrier.Member
	for m, state := range p.members {
		if now.Sub(state.lastHeartbeat) <= election.HeartbeatTimeout {
			members = append(members, carrier.Member{ID: string(m), Address: m.Address(), Centre: state.centre, Cores: float64(state.millicores) / millicoresPerCore})
		}
	}
	return members
}

// recordHeartbeat records a heartbeat. It returns up to maxVoters other members that have sent one recently, and
// the cores of the largest member in thousandths.
func (p *Process) recordHeartbeat(heartbeat *relay.Sign) ([]string, int64) {
	ownMillicores := int64(millicoresPerCore * p.currentCores())
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	sender := election.Member(heartbeat.Member)
	p.members[sender] = memberState{lastHeartbeat: now, millicores: heartbeat.Cores, centre: site.DataCentre(heartbeat.Centre)}
	var others []string
	maxMillicores := ownMillicores
	for m, state := range p.members {
		if now.Sub(state.lastHeartbeat) > election.HeartbeatTimeout {
			delete(p.members, m)
			continue
		}
		maxMillicores = max(maxMillicores, state.millicores)
		if m != sender && len(others) < maxVoters {
			others = append(others, string(m))
		}
	}
	return others, maxMillicores
}

// Forward implements ingress.Forwarder.
func (p *Process) Forward(ctx context.Context, request *relay.Request, expiry time.Duration) *relay.Reply {
	reply, reached := p.tryForward(ctx, request, expiry)
	if owner := p.elector.Owner(); owner != "" && (!reached || reply.Verdict == relay.Verdict_UNKNOWN) {
		go p.elector.FindSuccessor(context.WithoutCancel(ctx), owner) // the call has a timeout of its own
	}
	return reply
}

// tryForward forwards a request once to the owner that is known now. It reports whether an owner was reached.
func (p *Process) tryForward(ctx context.Context, request *relay.Request, expiry time.Duration) (*relay.Reply, bool) {
	if d := p.dispatcher(); d != nil {
		return handleRequest(ctx, p.follower.Config(), d, request), true
	}
	owner := p.elector.Owner()
	for range 2 { // the owner that this process knows, and the one that it names if it is no longer the owner
		if owner == "" || owner == p.elector.Member {
			break
		}
		remaining := expiry - p.clock.Uptime()
		if remaining <= 0 {
			return ingress.ExpiredReply(), true
		}
		request.Patience = remaining.Milliseconds()
		reply, reached := p.callOwner(ctx, owner, request)
		if reply.Verdict != relay.Verdict_ELSEWHERE {
			return reply, reached
		}
		p.elector.ForgetOwner(owner)
		if reply.Owner == string(owner) {
			break
		}
		owner = election.Member(reply.Owner)
		p.elector.RecordOwner(owner)
	}
	return &relay.Reply{Verdict: relay.Verdict_REFUSED, Reason: "no owner is known", Again: noOwnerRetryDelay.Milliseconds()}, false
}

// callOwner forwards a request to the owner. It reports whether anything may have been sent.
func (p *Process) callOwner(ctx context.Context, owner election.Member, request *relay.Request) (*relay.Reply, bool) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var connected atomic.Bool
	tracedCtx := httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	stop := p.clock.AfterFunc(ownerConnectTimeout, func() {
		if !connected.Load() {
			cancel()
		}
	})
	defer stop()
	reply, err := p.relayClient(owner).Call(tracedCtx, request)
	if err == nil {
		return reply, true
	}
	// A call that ends while it waits for a connection names the end of its context, not the dial.
	if isNotSent(err) || !connected.Load() {
		return &relay.Reply{Verdict: relay.Verdict_REFUSED, Reason: "the owner cannot be reached: " + err.Error(), Again: noOwnerRetryDelay.Milliseconds()}, false
	}
	return &relay.Reply{Verdict: relay.Verdict_UNKNOWN, Reason: "no answer from the owner: " + err.Error()}, true
}

func (p *Process) relayClient(member election.Member) relay.Relay {
	return relay.NewRelayProtobufClient("http://"+string(member.Address()), p.peerHTTP)
}

// isNotSent reports whether a call failed before anything was sent.
func isNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// runHeartbeats sends heartbeats to the owner and replaces an owner that has failed.
func (p *Process) runHeartbeats(ctx context.Context) {
	var detector election.Detector
	var measuredAt time.Time
	pause := heartbeatRetryDelay
	for p.clock.Sleep(ctx, pause) == nil {
		measuredAt = p.measureSpeed(measuredAt)
		owner := p.elector.Owner()
		detector.SetOwner(owner, p.clock.Now())
		pause = p.heartbeatInterval()
		if owner == "" {
			pause = heartbeatRetryDelay // the first heartbeat follows as soon as an owner is known
		}
		if owner == "" || owner == p.elector.Member || p.stopping.Load() {
			continue
		}
		timeout := heartbeatTimeout
		if detector.IsSuspicious() {
			timeout = suspicionTimeout
		}
		sent := p.clock.Now()
		response, err := p.sendHeartbeat(ctx, owner, timeout)
		outcome := classifyResponse(owner, response, err)
		if outcome == election.ResponseOwner {
			p.recordOwnerResponse(ctx, response)
		}
		now := p.clock.Now()
		action, departure := detector.RecordResponse(outcome, sent, now, p.elector.CandidacyDelay())
		p.applyAction(ctx, owner, action, departure, detector.OwnerSilence(now))
		if detector.IsSuspicious() {
			pause = heartbeatRetryDelay
		}
	}
}

// classifyResponse classifies the response to a heartbeat that was sent to the owner.
func classifyResponse(owner election.Member, response *relay.Notice, err error) election.Response {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return election.ResponseConnectionRefused
	case err != nil:
		return election.ResponseNone
	case response.Self != string(owner):
		return election.ResponseOtherIncarnation
	case response.Release:
		return election.ResponseResigned
	case response.Owner != string(owner):
		return election.ResponseNotOwner
	}
	return election.ResponseOwner
}

// sendHeartbeat sends a heartbeat to the owner, or to another member to learn whether it reaches the owner, and applies the
// configuration in the response: while neither the store nor the owner answers, other members may have a newer one.
func (p *Process) sendHeartbeat(ctx context.Context, member election.Member, timeout time.Duration) (*relay.Notice, error) {
	callCtx, cancel := p.clock.WithTimeout(ctx, timeout)
	defer cancel()
	_, offset := p.follower.Document()
	response, err := p.relayClient(member).Beat(callCtx, &relay.Sign{Member: string(p.elector.Member), Config: int64(offset), Store: p.hasReachedStore(), Cores: int64(millicoresPerCore * p.currentCores()), Centre: string(p.currentSettings().Centre)})
	if err != nil {
		return nil, err
	}
	if len(response.Document) > 0 && p.follower.ApplyConfig(response.Document, platform.Offset(response.Config)) {
		p.applyOperatorChange()
	}
	return response, nil
}

// recordOwnerResponse records that the owner has answered a heartbeat, and applies what it reports: the voters and the
// cores of the largest member. If the owner asks for it, this process tries to reach the store.
func (p *Process) recordOwnerResponse(ctx context.Context, response *relay.Notice) {
	p.mu.Lock()
	p.ownerRespondedAt = p.clock.Now()
	p.voters = response.Members
	if response.Cores > 0 {
		p.largestCores = election.Cores(response.Cores) / millicoresPerCore
	}
	p.mu.Unlock()
	if response.Probe && p.elector.CanReachStore(ctx) {
		p.mu.Lock()
		p.storeReachedAt = p.clock.Now()
		p.mu.Unlock()
	}
}

// hasReachedStore reports whether this process has recently reached the store after the owner had asked it to
// try.
func (p *Process) hasReachedStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.storeReachedAt.IsZero() && p.clock.Since(p.storeReachedAt) < probeValidity
}

// applyAction carries out the action that the detector returned.
func (p *Process) applyAction(ctx context.Context, owner election.Member, action election.Action, departure election.Departure, silence time.Duration) {
	switch action {
	case election.ActionWait:
	case election.ActionLookUpOwner:
		p.elector.ForgetOwner(owner) // the elector then reads the owner from the store
	case election.ActionReplaceOwner:
		p.elector.ReplaceOwner(ctx, owner, departure)
	case election.ActionCollectVotes:
		vote := p.collectVotes(ctx, owner)
		p.log.Info(eventOwnerSilent, "owner", owner, "silence", silence, "departure", departure, "opinion", vote)
		if vote.AllowsReplacement(silence) {
			p.elector.ReplaceOwner(ctx, owner, departure)
		}
	}
}

// collectVotes asks the members that the owner has named whether they still reach it. A member does if the owner has
// answered it within a heartbeat's period and timeout. They are asked in parallel because some may have failed
// together with the owner.
func (p *Process) collectVotes(ctx context.Context, owner election.Member) election.Vote {
	p.mu.Lock()
	voters := p.voters
	p.mu.Unlock()
	if len(voters) == 0 {
		return election.VoteUnreachable // the owner has named no other member
	}
	votes := make(chan election.Vote, len(voters))
	for _, m := range voters {
		go func() {
			response, err := p.sendHeartbeat(ctx, election.Member(m), heartbeatTimeout)
			switch {
			case err != nil:
				votes <- election.VoteNone
			case response.Owner == string(owner) && response.Silence >= 0 && response.Silence < heartbeatPeriod.Milliseconds()+heartbeatTimeout.Milliseconds():
				votes <- election.VoteAlive
			default:
				votes <- election.VoteUnreachable
			}
		}()
	}
	result := election.VoteNone
	for range voters {
		result = result.Combine(<-votes)
	}
	return result
}
