package claim

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventClaimUnconfirmed = event.Define(1600, "claim.abandoned", "the log did not confirm a claim in time; if it does later, the key is freed")
	eventOutcomeDelayed   = event.Define(1601, "outcome.waits", "an outcome could not be appended to the log; retrying")
	eventOutcomeLost      = event.Define(1602, "outcome.lost", "the process stops before the log confirmed an outcome; the outcome of the request stays unknown")
)
