package process

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"hibiscuslane.example/hibiscuslane/dispatch"
	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/task"
)

const (
	// beatPeriod is the time between signs of life to the owner.
	beatPeriod = 350 * time.Millisecond
	// beatTimeout bounds the answer to one. Peers are a few milliseconds away; a slow one takes some ten.
	beatTimeout = 500 * time.Millisecond
	// beatAgain is the pause while no owner is known and after an answer that casts doubt on it, beatDoubt bounds the answer to the
	// next sign. Their sum is the step in which the handicaps of members tell.
	beatAgain = 50 * time.Millisecond
	beatDoubt = 200 * time.Millisecond
	// storeSilence is how long the store may be silent before an owner gives way to a peer that reaches it.
	storeSilence = 1300 * time.Millisecond
	// probeSilence is how long the store may be silent before an owner asks its peers to try, reachedTime how
	// long a success counts.
	probeSilence = 700 * time.Millisecond
	reachedTime  = time.Second
	// weakerWait is how much longer an owner waits before it gives way to a peer on a smaller instance: the
	// signs of all peers arrive meanwhile. equalCores is the processor of a peer that is not smaller.
	weakerWait = 500 * time.Millisecond
	equalCores = 0.9
	// betterCores is how many times the processor of the owner a peer must have to take over. A change of the
	// owner costs some 100 ms of placing.
	betterCores = 1.5
	millicores  = 1000
	// fullCores is the processor of the largest instances until the owner has told what it is. One that has it
	// claims a vacant ownership at once; handicap is how long one with none would leave it to others.
	fullCores = 0.8
	handicap  = 600 * time.Millisecond
	// witnesses is the number of other members that are asked before the owner is replaced.
	witnesses = 3
	// ownerRetry is the time after which a caller may try again while there is no owner.
	ownerRetry = time.Second
)

// handicapOf returns how long a process leaves a vacant ownership to others, by its processor and that of
// the largest member.
func handicapOf(cores, largest float64) time.Duration {
	return time.Duration(max(0, 1-cores/largest) * float64(handicap))
}

// server answers peers.
type server struct{ process *Process }

// Call implements relay.Relay.
func (s *server) Call(ctx context.Context, request *relay.Request) (*relay.Reply, error) {
	d := s.process.dispatcher()
	if d == nil {
		return &relay.Reply{Verdict: relay.Verdict_ELSEWHERE, Owner: string(s.process.keeper.Owner())}, nil
	}
	bound, cancel := s.process.clock.WithTimeout(ctx, time.Duration(request.Patience)*time.Millisecond)
	defer cancel()
	return handle(bound, d, request), nil
}

// handle carries a caller's request out at the owner.
func handle(ctx context.Context, d *dispatch.Dispatcher, request *relay.Request) *relay.Reply {
	id := task.JobID(request.Job)
	switch request.Verb {
	case relay.Verb_SUBMIT:
		spec, err := platform.ParseJob(request.Body)
		if err != nil {
			return &relay.Reply{Verdict: relay.Verdict_INVALID, Reason: err.Error()}
		}
		return d.Submit(ctx, queue.Name(request.Queue), id, spec)
	case relay.Verb_CANCEL:
		return d.Cancel(ctx, id)
	case relay.Verb_STATE:
		return d.JobState(id)
	case relay.Verb_WAITING:
		return d.CountWaitingJobs(queue.Name(request.Queue))
	}
	return &relay.Reply{Verdict: relay.Verdict_INVALID, Reason: "unknown verb"}
}

// Beat implements relay.Relay.
func (s *server) Beat(_ context.Context, sign *relay.Sign) (*relay.Notice, error) {
	p := s.process
	notice := &relay.Notice{Self: string(p.keeper.Member), Owner: string(p.keeper.Owner()), Silence: -1}
	p.mu.Lock()
	if !p.answered.IsZero() {
		notice.Silence = p.clock.Since(p.answered).Milliseconds()
	}
	p.mu.Unlock()
	if document, offset := p.follower.Document(); int64(offset) > sign.Config {
		notice.Document, notice.Config = document, int64(offset)
	}
	d := p.dispatcher()
	if d == nil {
		notice.Release = p.keeper.HasResigned()
		return notice, nil
	}
	notice.Silence = 0
	notice.Members, notice.Cores = p.remember(sign)
	notice.Probe = p.keeper.StoreSilence() > probeSilence
	if reason := p.giveUp(d, sign); reason != "" {
		p.keeper.Resign(reason)
		notice.Release = true
	}
	return notice, nil
}

// giveUp returns why this owner gives way to the sender; empty if it does not.
func (p *Process) giveUp(d *dispatch.Dispatcher, sign *relay.Sign) string {
	ratio := float64(sign.Cores) / (millicores * p.current().Cores)
	cut := p.keeper.StoreSilence() - storeSilence
	switch {
	case sign.Store && (cut > weakerWait || cut > 0 && ratio >= equalCores):
		return "a peer reaches the store, this process does not"
	case cut <= 0 && d.CanHandOver() && ratio > betterCores:
		return "a peer on a larger instance takes over"
	}
	return ""
}

// member is what an owner knows of another member.
type member struct {
	// heard is when it last sent a sign of life.
	heard time.Time
	cores int64
}

// remember notes a sign of life. It returns other members that have sent one lately, and the most cores that
// a member has, in thousandths.
func (p *Process) remember(sign *relay.Sign) ([]string, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	from := election.Member(sign.Member)
	p.signs[from] = member{heard: now, cores: sign.Cores}
	var members []string
	cores := int64(millicores * p.settings.Cores)
	for m, last := range p.signs {
		if now.Sub(last.heard) > election.HeartbeatTimeout {
			delete(p.signs, m)
			continue
		}
		cores = max(cores, last.cores)
		if m != from && len(members) < witnesses {
			members = append(members, string(m))
		}
	}
	return members, cores
}

// Forward implements ingress.Forwarder.
func (p *Process) Forward(ctx context.Context, request *relay.Request) *relay.Reply {
	if d := p.dispatcher(); d != nil {
		return handle(ctx, d, request)
	}
	owner := p.keeper.Owner()
	for range 2 {
		if owner == "" || owner == p.keeper.Member {
			break
		}
		reply := p.pass(ctx, owner, request)
		if reply.Verdict != relay.Verdict_ELSEWHERE {
			return reply
		}
		p.keeper.ForgetOwner(owner)
		if reply.Owner == string(owner) {
			break
		}
		owner = election.Member(reply.Owner)
		p.keeper.RecordOwner(owner)
	}
	return &relay.Reply{Verdict: relay.Verdict_REFUSED, Reason: "no owner is known", Again: ownerRetry.Milliseconds()}
}

// pass sends a request to the owner.
func (p *Process) pass(ctx context.Context, owner election.Member, request *relay.Request) *relay.Reply {
	reply, err := p.peer(owner).Call(ctx, request)
	if err == nil {
		return reply
	}
	if unsent(err) {
		return &relay.Reply{Verdict: relay.Verdict_REFUSED, Reason: "the owner cannot be reached: " + err.Error(), Again: ownerRetry.Milliseconds()}
	}
	return &relay.Reply{Verdict: relay.Verdict_UNKNOWN, Reason: "no answer from the owner: " + err.Error()}
}

func (p *Process) peer(m election.Member) relay.Relay {
	return relay.NewRelayProtobufClient("http://"+string(m.Address()), p.peers)
}

// unsent reports whether a call failed before anything was sent.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// beats tells the owner that this process lives, and replaces an owner that does not.
func (p *Process) beats(ctx context.Context) {
	var watch election.Detector
	pause := beatAgain
	for p.clock.Sleep(ctx, pause) == nil {
		owner := p.keeper.Owner()
		watch.SetOwner(owner, p.clock.Now())
		pause = beatPeriod
		if owner == "" {
			pause = beatAgain // the first sign follows as soon as one is known
		}
		if owner == "" || owner == p.keeper.Member || p.stopping.Load() {
			continue
		}
		bound := beatTimeout
		if watch.IsSuspicious() {
			bound = beatDoubt
		}
		sent := p.clock.Now()
		notice, err := p.beat(ctx, owner, bound)
		answer := answerOf(owner, notice, err)
		if answer == election.ResponseOwner {
			p.heard(ctx, notice)
		}
		now := p.clock.Now()
		step, departure := watch.RecordResponse(answer, sent, now, p.keeper.CandidacyDelay())
		p.act(ctx, owner, step, departure, watch.OwnerSilence(now))
		if watch.IsSuspicious() {
			pause = beatAgain
		}
	}
}

// answerOf returns what the answer of a member to a sign of life says.
func answerOf(owner election.Member, notice *relay.Notice, err error) election.Response {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return election.ResponseConnectionRefused
	case err != nil:
		return election.ResponseNone
	case notice.Self != string(owner):
		return election.ResponseOtherIncarnation
	case notice.Release:
		return election.ResponseResigned
	case notice.Owner != string(owner):
		return election.ResponseNotOwner
	}
	return election.ResponseOwner
}

func (p *Process) beat(ctx context.Context, to election.Member, bound time.Duration) (*relay.Notice, error) {
	call, cancel := p.clock.WithTimeout(ctx, bound)
	defer cancel()
	_, offset := p.follower.Document()
	return p.peer(to).Beat(call, &relay.Sign{Member: string(p.keeper.Member), Config: int64(offset), Store: p.reaches(), Cores: int64(millicores * p.current().Cores)})
}

// heard notes that the owner lives.
func (p *Process) heard(ctx context.Context, notice *relay.Notice) {
	p.mu.Lock()
	p.answered = p.clock.Now()
	p.members = notice.Members
	p.mu.Unlock()
	if notice.Cores > 0 {
		p.keeper.SetCandidacyDelay(handicapOf(p.current().Cores, float64(notice.Cores)/millicores))
	}
	if notice.Probe && p.keeper.CanReachStore(ctx) {
		p.mu.Lock()
		p.reached = p.clock.Now()
		p.mu.Unlock()
	}
	if len(notice.Document) > 0 && p.follower.ApplyConfig(notice.Document, platform.Offset(notice.Config)) {
		p.changed()
	}
}

// reaches reports whether this process has reached the store lately at the owner's request.
func (p *Process) reaches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.reached.IsZero() && p.clock.Since(p.reached) < reachedTime
}

// act carries out what the answers of the owner call for.
func (p *Process) act(ctx context.Context, owner election.Member, step election.Action, departure election.Departure, silence time.Duration) {
	switch step {
	case election.ActionWait:
	case election.ActionLookUpOwner:
		p.keeper.ForgetOwner(owner) // the store names the owner
	case election.ActionReplaceOwner:
		p.keeper.ReplaceOwner(ctx, owner, departure)
	case election.ActionCollectVotes:
		opinion := p.ask(ctx, owner)
		p.log.Info(eventSilent, "owner", owner, "silence", silence, "departure", departure, "opinion", opinion)
		if opinion.AllowsReplacement(silence) {
			p.keeper.ReplaceOwner(ctx, owner, departure)
		}
	}
}

// ask returns what the members that the owner has named say of it. They are asked at the same time, since some
// may have gone with the owner.
func (p *Process) ask(ctx context.Context, owner election.Member) election.Vote {
	p.mu.Lock()
	members := p.members
	p.mu.Unlock()
	if len(members) == 0 {
		return election.VoteUnreachable // there is nobody else
	}
	opinions := make(chan election.Vote, len(members))
	for _, m := range members {
		go func() {
			notice, err := p.beat(ctx, election.Member(m), beatTimeout)
			switch {
			case err != nil:
				opinions <- election.VoteNone
			case notice.Owner == string(owner) && notice.Silence >= 0 && notice.Silence < beatPeriod.Milliseconds()+beatTimeout.Milliseconds():
				opinions <- election.VoteAlive
			default:
				opinions <- election.VoteUnreachable
			}
		}()
	}
	sum := election.VoteNone
	for range members {
		sum = sum.Combine(<-opinions)
	}
	return sum
}
