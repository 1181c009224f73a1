package retry

import "hibiscuslane.example/hibiscuslane/event"

var eventExhausted = event.Define(1900, "budget.exhausted", "a failed attempt was not retried because the retry budget is exhausted")
