package planner

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventRecordApplied  = event.Define(2000, "fleet.changed", "a proposed fleet record was applied")
	eventProposalFailed = event.Define(2001, "proposal.failed", "a proposed fleet record was not applied; the next plan takes the new state into account")
	eventPaused         = event.Define(2002, "planner.paused", "proposals are paused until the fleet stream is up to date again")
	eventResumed        = event.Define(2003, "planner.resumed", "the fleet stream is up to date again; proposals resume")
	eventActionFailed   = event.Define(2005, "control.failed", "a drain or reboot request to the platform failed; it is retried")
	eventActionAccepted = event.Define(2006, "control.accepted", "the platform accepted a drain or reboot request")
)
