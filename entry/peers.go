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

// answerTimeout limits the call to the entry that holds a stored response.
const answerTimeout = 2 * time.Second

// answersServer serves the stored responses of this entry to its peers. It implements peer.Answers.
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

// answersClient requests stored responses from peers. It implements claim.AnswerFetcher.
type answersClient struct {
	group       *member.Group
	clients     *peer.Clients
	withTimeout func(context.Context, time.Duration) (context.Context, context.CancelFunc)
}

// FetchAnswer implements claim.AnswerFetcher. It returns nil if the holder is not in the platform's list or does not
// have the response.
func (a answersClient) FetchAnswer(ctx context.Context, holder record.Writer, key claim.Key, id record.ID) (*claim.Answer, error) {
	address, ok := a.group.Address(holder.Entry)
	if !ok {
		return nil, nil
	}
	ctx, cancel := a.withTimeout(ctx, answerTimeout)
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

// newWriterGoneCheck returns a function that reports whether the process that wrote a record is known to
// have ended: its entry is no longer in the platform's list, or a heartbeat came from another incarnation
// of it.
func newWriterGoneCheck(group *member.Group, self record.Writer) func(record.Writer) bool {
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
