package slot

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventOwned   = event.Define(1700, "pool.owned", "this entry grants the slots of a pool")
	eventFailed  = event.Define(1701, "owner.failed", "the owner of a pool does not answer; asking the next one")
	eventDropped = event.Define(1702, "release.dropped", "released slots could not be returned; the owner finds out from the next report")
)
