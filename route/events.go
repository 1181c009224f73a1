package route

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventLeaving  = event.Define(1810, "target.leaving", "a target takes no new work under its incarnation")
	eventEjected  = event.Define(1811, "target.ejected", "new connections to a target fail; it gets no work for a time")
	eventSpared   = event.Define(1812, "target.spared", "new connections to a target fail, but the share of the pool that may be ejected is used up")
	eventRestored = event.Define(1813, "target.restored", "an ejected target takes connections again")
)
