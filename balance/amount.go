package balance

import "hibiscuslane.example/hibiscuslane/task"

// Amount is an amount of each resource: thousandths of a core, MB of memory and accelerators. Times seconds, it is an
// amount of work.
type Amount struct{ CPU, Memory, GPU float64 }

// AmountOf converts resources of tasks or machines.
func AmountOf(r task.Resources) Amount {
	return Amount{CPU: float64(r.CPU), Memory: float64(r.Memory), GPU: float64(r.GPU)}
}

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	return Amount{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, GPU: a.GPU + b.GPU}
}

// Sub returns the difference of two amounts.
func (a Amount) Sub(b Amount) Amount { return a.Add(b.Scale(-1)) }

// Scale returns a multiple of the amount.
func (a Amount) Scale(factor float64) Amount {
	return Amount{CPU: a.CPU * factor, Memory: a.Memory * factor, GPU: a.GPU * factor}
}

// max returns the larger amount of each resource.
func (a Amount) max(b Amount) Amount {
	return Amount{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPU: max(a.GPU, b.GPU)}
}

// machines returns how many machines of the given capacity have the amount, by the resource of which it takes most. It
// leaves out resources that the machines do not have.
func (a Amount) machines(capacity Amount) float64 {
	first, count := true, 0.0
	for _, r := range [][2]float64{{a.CPU, capacity.CPU}, {a.Memory, capacity.Memory}, {a.GPU, capacity.GPU}} {
		if r[1] <= 0 {
			continue
		}
		if share := r[0] / r[1]; first || share > count {
			first, count = false, share
		}
	}
	return count
}
