package retry

import "hibiscuslane.example/hibiscuslane/event"

var eventExhausted = event.Define(1900, "budget.exhausted", "a try that could be repeated was not, because the retry budget is used up")
