package entry

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/member"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
)

// answerTimeout bounds the call to the holder of an answer.
const answerTimeout = 2 * time.Second

// answersServer serves the stored answers of this entry. It implements peer.Answers.
type answersServer struct {
	claimer *claim.Claimer
}

// Answer implements peer.Answers.
func (a answersServer) Answer(_ context.Context, query *peer.AnswerQuery) (*peer.StoredAnswer, error) {
	key := claim.Key{Team: team.Name(query.GetTeam()), Value: query.GetKey()}
	stored := a.claimer.LocalAnswer(key, query.GetClaim())
	if stored == nil {
		return &peer.StoredAnswer{}, nil
	}
	return &peer.StoredAnswer{Found: true, Status: int32(stored.Status), Header: stored.Header, Body: stored.Body}, nil
}

// answersClient implements claim.Peers.
type answersClient struct {
	group   *member.Group
	clients *peer.Clients
	timeout func(context.Context, time.Duration) (context.Context, context.CancelFunc)
}

// Answer implements claim.Peers. It returns nil if the holder does not keep the answer.
func (a answersClient) FetchAnswer(ctx context.Context, holder record.Writer, key claim.Key, id record.ID) (*claim.Answer, error) {
	address, ok := a.group.Address(holder.Entry)
	if !ok {
		return nil, nil
	}
	ctx, cancel := a.timeout(ctx, answerTimeout)
	defer cancel()
	stored, err := a.clients.Get(address).Answer(ctx, &peer.AnswerQuery{
		Team: string(key.Team), Key: key.Value, Claim: id.String(),
	})
	if err != nil {
		return nil, err
	}
	if !stored.GetFound() {
		return nil, nil
	}
	return &claim.Answer{Status: int(stored.GetStatus()), Header: stored.GetHeader(), Body: stored.GetBody()}, nil
}

// writerGone reports whether the process that wrote a record is known to be gone: its entry left the
// list, or another incarnation of it reports.
func writerGone(group *member.Group, self record.Writer) func(record.Writer) bool {
	return func(writer record.Writer) bool {
		if writer.Entry == self.Entry {
			return writer.Incarnation != self.Incarnation
		}
		if _, listed := group.Address(writer.Entry); !listed {
			return true
		}
		for _, status := range group.LivePeers() {
			if instance.ID(status.GetEntry()) == writer.Entry {
				return status.GetIncarnation() != uint64(writer.Incarnation)
			}
		}
		return false
	}
}
