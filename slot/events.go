package slot

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventPoolOwned      = event.Define(1700, "pool.owned", "this entry now grants the slots of a pool")
	eventOwnerFailed    = event.Define(1701, "owner.failed", "a call to the owner of a pool failed; calling the next entry in the ranking")
	eventReleaseDropped = event.Define(1702, "release.dropped", "the release of slots could not be sent; the next report of held slots corrects the owner")
)
