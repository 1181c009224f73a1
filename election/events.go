package election

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventClaimsUnreadable = event.Define(2700, "claims.failed", "the claims cannot be read from the store")
	eventClaimed          = event.Define(2701, "tenure.claimed", "this process has claimed ownership; the error says whether the claim failed")
	eventPublishRetried   = event.Define(2703, "ledger.naming", "the claim that names a new partition of the ledger was not confirmed; retrying")
	eventReleaseFailed    = event.Define(2702, "tenure.kept", "the store did not confirm the release of ownership; a peer will claim it")
	eventSuccessorUnknown = event.Define(2704, "owner.unsought", "the owner does not answer, and the claims that may name the next one cannot be read from the store")
)
