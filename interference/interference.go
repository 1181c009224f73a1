// Package interference learns which kinds of tasks slow each other down on one worker. A Table takes observations of single
// tasks and the kinds beside them, and returns the pairs that disturb each other, with which the scheduler keeps tasks apart. Its
// functions depend only on their arguments. Only "hibiscuslane run" uses it.
//
// It answers a load of many short observations: several kinds share the workers of a pool in changing company, some pairs
// disturb each other by an amount that changes within seconds, and every figure is noisy.
package interference

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"
)

// Kind identifies tasks that behave alike: those with the same image or, without an image, those of the same step of a queue.
type Kind string

// ImageKind returns the kind of the tasks with an image. A long image is cut, and a hash of the whole added.
func ImageKind(image string) Kind {
	if len(image) <= maxKindLength {
		return Kind(image)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(image)) // never fails
	return Kind(fmt.Sprintf("%s#%016x", strings.ToValidUTF8(image[:maxKindLength], ""), h.Sum64()))
}

// Observation is how much longer one task took than expected, and what ran beside it.
type Observation struct {
	Kind Kind
	// Beside holds the other kinds on the worker, each once. It contains Kind itself if another task of it ran there.
	Beside []Kind
	// Ratio is the measured figure divided by the expected one, for example a duration by its estimate or a tail latency by its
	// target. It is positive; an expectation that is always wrong by the same factor does no harm.
	Ratio float64
	At    time.Time
}

const (
	// maxLogRatio limits the logarithm of a ratio, so that one stray figure does not outweigh many others.
	maxLogRatio = 1.5
	// minObservations is the number of recent observations of a kind both beside another and apart from it without which
	// nothing is said about the pair: if the two always meet, the kind may just be slow.
	minObservations = 6
	// minSlowdown is the least slowdown that counts, as a share. Less of it costs a task little of the time that it is allowed.
	minSlowdown = 0.15
	// findSignal is how many standard deviations an effect must exceed to be found, and keepSignal to stay known afterwards. One
	// threshold alone would let a pair come and go with the noise.
	findSignal, keepSignal = 4.5, 2
	// initialVariance is the variance of an effect of which nothing is known, and noiseVariance the assumed one of the noise
	// of a kind until its own is known; noiseSmoothing is the weight of an observation in that.
	initialVariance, noiseVariance, noiseSmoothing = 1, 0.1, 0.05
	// drift is by how much the variance of an effect grows in a second: effects change within seconds. It also makes the table
	// forget pairs that are kept apart, which are not observed any more.
	drift = 0.005
	// halfLife is the time in which the number of observations fades to half.
	halfLife = 20 * time.Second
	// MaxKinds and maxNeighbours limit the kinds in a table and the neighbours that are kept for each of them.
	MaxKinds      = 256
	maxNeighbours = 32
	// maxKindLength limits the bytes of an image in its kind: callers name images, and the table, the log and the metrics keep them.
	maxKindLength = 128
)

// Table holds what was learned. The zero value knows nothing.
type Table struct{ profiles map[Kind]*profile }

// profile is what is known about the tasks of one kind. Ratios are kept as logarithms, in which slowdowns add up.
type profile struct {
	// base is the ratio without a disturbance.
	base estimate
	// noise is the variance of the ratios around what the estimates predict.
	noise   float64
	effects map[Kind]*estimate // by neighbour
}

// estimate is a value that may drift.
type estimate struct {
	value, variance float64
	// observations is the number of observations, fading with halfLife; observedAt is the time of the last one.
	observations float64
	observedAt   time.Time
	// isKnown is set while the estimate is that of a disturbing neighbour.
	isKnown bool
}

// varianceAt returns the variance at a time after the last observation.
func (e *estimate) varianceAt(now time.Time) float64 {
	return min(e.variance+drift*max(now.Sub(e.observedAt).Seconds(), 0), initialVariance)
}

// observationsAt returns the number of observations, faded to the given time.
func (e *estimate) observationsAt(now time.Time) float64 {
	return e.observations * math.Exp2(-max(now.Sub(e.observedAt).Seconds(), 0)/halfLife.Seconds())
}

// advance brings the estimate to the time of a new observation.
func (e *estimate) advance(now time.Time) {
	e.variance, e.observations, e.observedAt = e.varianceAt(now), e.observationsAt(now)+1, now
}

// correct applies its part of the deviation of an observation whose total variance is given.
func (e *estimate) correct(deviation, total float64) {
	gain := e.variance / total
	e.value += gain * deviation
	e.variance -= gain * e.variance
}

// Observe corrects the profile of a kind. Each of the kinds that were present takes a part of the deviation from the prediction
// according to how uncertain its effect is (a Kalman filter without covariances), so that a kind which is often there is cleared
// by the observations without the cause.
func (t *Table) Observe(o Observation) {
	if o.Ratio <= 0 || math.IsNaN(o.Ratio) || math.IsInf(o.Ratio, 0) {
		return
	}
	ratio := min(max(math.Log(o.Ratio), -maxLogRatio), maxLogRatio)
	p := t.profile(o.Kind, ratio, o.At)
	present := []*estimate{&p.base}
	for _, kind := range o.Beside[:min(len(o.Beside), maxNeighbours)] {
		present = append(present, p.effect(kind, o.At))
	}
	predicted, total := 0.0, p.noise
	for _, e := range present {
		e.advance(o.At)
		predicted += e.value
		total += e.variance
	}
	deviation := ratio - predicted
	for _, e := range present {
		e.correct(deviation, total)
	}
	p.noise += noiseSmoothing * (deviation*deviation - p.noise)
	for _, e := range present[1:] {
		e.isKnown = p.slowdown(e, o.At) > 0
	}
}

// Len returns the number of kinds in the table.
func (t *Table) Len() int { return len(t.profiles) }

// profile returns the profile of a kind. A new one begins with the given ratio, and replaces the one that was not observed for
// the longest time if the table is full.
func (t *Table) profile(kind Kind, ratio float64, now time.Time) *profile {
	p := t.profiles[kind]
	if p == nil {
		if t.profiles == nil {
			t.profiles = map[Kind]*profile{}
		}
		if len(t.profiles) >= MaxKinds {
			delete(t.profiles, t.oldestKind())
		}
		p = &profile{base: estimate{value: ratio, variance: initialVariance, observedAt: now}, noise: noiseVariance, effects: map[Kind]*estimate{}}
		t.profiles[kind] = p
	}
	return p
}

func (t *Table) oldestKind() Kind {
	var oldest Kind
	var at time.Time
	for kind, p := range t.profiles {
		if at.IsZero() || cmp.Or(p.base.observedAt.Compare(at), cmp.Compare(kind, oldest)) < 0 {
			oldest, at = kind, p.base.observedAt
		}
	}
	return oldest
}

// effect returns the effect of a neighbour. A new one replaces the one with the fewest observations if there are too many.
func (p *profile) effect(kind Kind, now time.Time) *estimate {
	e := p.effects[kind]
	if e == nil {
		if len(p.effects) >= maxNeighbours {
			delete(p.effects, p.rarestNeighbour(now))
		}
		e = &estimate{variance: initialVariance, observedAt: now}
		p.effects[kind] = e
	}
	return e
}

func (p *profile) rarestNeighbour(now time.Time) Kind {
	var rarest Kind
	fewest := math.Inf(1)
	for kind, e := range p.effects {
		if n := e.observationsAt(now); n < fewest || n == fewest && kind < rarest {
			rarest, fewest = kind, n
		}
	}
	return rarest
}

// slowdown returns the share by which a neighbour slows the kind down; 0 if too little is known or the effect is not clearly more
// than its uncertainty.
func (p *profile) slowdown(e *estimate, now time.Time) float64 {
	beside := e.observationsAt(now)
	if beside < minObservations || p.base.observationsAt(now)-beside < minObservations {
		return 0
	}
	signal := float64(findSignal)
	if e.isKnown {
		signal = keepSignal
	}
	slowdown := math.Expm1(e.value)
	if slowdown < minSlowdown || e.value < signal*math.Sqrt(e.varianceAt(now)) {
		return 0
	}
	return slowdown
}

// Pair is a kind and a neighbour that slows it down.
type Pair struct {
	Kind, Neighbour Kind
	// Slowdown is the share by which tasks of Kind take longer beside Neighbour; 1 is twice the time.
	Slowdown float64
}

// Pairs returns the pairs that are known to disturb, the strongest first.
func (t *Table) Pairs(now time.Time) []Pair {
	var pairs []Pair
	for kind, p := range t.profiles {
		for neighbour, e := range p.effects {
			if slowdown := p.slowdown(e, now); slowdown > 0 {
				pairs = append(pairs, Pair{Kind: kind, Neighbour: neighbour, Slowdown: slowdown})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(b.Slowdown, a.Slowdown), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Neighbour, b.Neighbour))
	})
	return pairs
}

// Costs holds by kind its neighbours with which it disturbs. It is nil while no pair is known.
type Costs map[Kind][]neighbour

// neighbour is a kind and by how much it and another one slow each other down.
type neighbour struct {
	kind     Kind
	slowdown float64
}

// NewCosts returns the costs of the given pairs.
func NewCosts(pairs []Pair) Costs {
	var c Costs
	for _, p := range pairs {
		if c == nil {
			c = Costs{}
		}
		c.add(p.Kind, p.Neighbour, p.Slowdown)
		if p.Kind != p.Neighbour {
			c.add(p.Neighbour, p.Kind, p.Slowdown)
		}
	}
	return c
}

func (c Costs) add(a, b Kind, slowdown float64) {
	for i := range c[a] {
		if c[a][i].kind == b {
			c[a][i].slowdown += slowdown
			return
		}
	}
	c[a] = append(c[a], neighbour{kind: b, slowdown: slowdown})
}

// Beside returns the slowdown, of itself and of the others, that one more task of the kind causes on a worker with the given
// numbers of tasks.
func (c Costs) Beside(kind Kind, tasks map[Kind]int) float64 {
	total := 0.0
	for _, n := range c[kind] {
		total += n.slowdown * float64(tasks[n.kind])
	}
	return total
}
