package simulation

import (
	"runtime"
	"runtime/metrics"
)

// runnableGoroutines is the metric that counts the goroutines that could run. The runtime calls it approximate, since it is read
// while others change it; with one processor nobody does.
const runnableGoroutines = "/sched/goroutines/runnable:goroutines"

// confirmations is how many times in a row no goroutine must be runnable. The runtime has goroutines of its own.
const confirmations = 2

var idleSample = []metrics.Sample{{Name: runnableGoroutines}}

// awaitIdle lets all other goroutines run until each of them waits. The program must use one processor only (see Exclusive).
func awaitIdle() {
	for idle := 0; idle < confirmations; {
		runtime.Gosched()
		metrics.Read(idleSample)
		idle++
		if idleSample[0].Value.Uint64() > 0 {
			idle = 0
		}
	}
}

// Exclusive limits the program to one processor, on which goroutines take turns, until the returned function is called. Run needs it.
func Exclusive() (restore func()) {
	before := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(before) }
}
