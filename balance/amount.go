package balance

import "hibiscuslane.example/hibiscuslane/task"

// Amount is an amount of resources: thousandths of a core and MB of memory. Times seconds, it is an amount of work.
// Accelerators are left out, since machines are not chosen by them.
type Amount struct{ CPU, Memory float64 }

// AmountOf converts resources of tasks or machines.
func AmountOf(r task.Resources) Amount {
	return Amount{CPU: float64(r.CPU), Memory: float64(r.Memory)}
}

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount { return Amount{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory} }

// Sub returns the difference of two amounts.
func (a Amount) Sub(b Amount) Amount { return Amount{CPU: a.CPU - b.CPU, Memory: a.Memory - b.Memory} }

// Scale returns a multiple of the amount.
func (a Amount) Scale(factor float64) Amount {
	return Amount{CPU: a.CPU * factor, Memory: a.Memory * factor}
}

// max returns the larger amount of each resource.
func (a Amount) max(b Amount) Amount {
	return Amount{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory)}
}

// machines returns how many machines of the given capacity have the amount, by the resource of which it takes most.
func (a Amount) machines(capacity Amount) float64 {
	count := a.CPU / max(capacity.CPU, 1)
	if capacity.Memory > 0 {
		count = max(count, a.Memory/capacity.Memory)
	}
	return count
}

// FitsIn reports whether the amount is at most the other one in each resource.
func (a Amount) FitsIn(b Amount) bool { return a.CPU <= b.CPU && a.Memory <= b.Memory }

// ShareOf returns the largest share that the amount takes of any resource of a total.
func (a Amount) ShareOf(total Amount) float64 { return a.machines(total) }
