package election

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventClaims = event.Define(2700, "claims.failed", "the store did not tell who owns the jobs")
	eventClaim  = event.Define(2701, "tenure.claimed", "this process has claimed the ownership")
	eventMove   = event.Define(2703, "ledger.naming", "the store did not confirm the claim that names another partition of the ledger; it is repeated")
	eventLeave  = event.Define(2702, "tenure.kept", "the store did not confirm that the ownership was given up; a peer claims it")
)
