package route

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventLeaving    = event.Define(1810, "target.leaving", "a target accepts no new work under its current incarnation")
	eventEjected    = event.Define(1811, "target.ejected", "new connections to a target fail; it receives no work for a time")
	eventNotEjected = event.Define(1812, "target.spared", "new connections to a target fail, but the maximum share of the pool is already ejected")
	eventRestored   = event.Define(1813, "target.restored", "an ejected target accepts connections again")
)
