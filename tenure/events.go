package tenure

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventJoin   = event.Define(2700, "join.failed", "the store did not confirm a sign of life")
	eventOwners = event.Define(2701, "owners.failed", "the store did not tell the owner")
	eventLeave  = event.Define(2702, "leave.failed", "the store did not confirm that this process left; it follows from its silence")
	eventRemove = event.Define(2703, "member.removed", "a member that ended was taken out of the group")
)
