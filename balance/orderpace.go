package balance

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// orderCPUTime is the processor time of an order for a machine, with the records that it takes and the worker that registers
	// afterwards. Orders take up to maxOrderCPUShare of the owner's processor.
	orderCPUTime     = 500 * time.Microsecond
	maxOrderCPUShare = 0.25
	// patientShare is the share of the burst that orders which can wait leave to those that cannot.
	patientShare = 0.5
)

// Budget is the number of orders for machines that may be given now. A nil Budget has no limit.
type Budget struct {
	// Urgent is the number of orders in all, and Patient the number after which only urgent ones may be given; it may be negative.
	Urgent, Patient int
}

// Allows reports whether one more order may be given after the given number of them.
func (b *Budget) Allows(given int, isUrgent bool) bool {
	return b == nil || given < b.Patient || isUrgent && given < b.Urgent
}

// AllowsDue reports whether one more order with a deadline may be given after the given number of them. Such orders take up to half of
// what is urgent, so that neither they nor pools that lack machines wait for the others.
func (b *Budget) AllowsDue(given int) bool { return b == nil || given < max(b.Patient, (b.Urgent+1)/2) }

// OrderPace paces the orders for machines. When a term begins, or all pools fall idle, thousands of machines may have to be ordered
// at once. The platform refuses what exceeds its limit, and an owner that gives the refused orders again and again has no time for
// anything else.
type OrderPace struct {
	limiter *rate.Limiter
}

// NewOrderPace returns the pace for a platform that accepts the given number of orders per second, and an owner with the given cores.
func NewOrderPace(perSecond, cores float64) *OrderPace {
	perSecond = max(1, min(perSecond, cores*maxOrderCPUShare/orderCPUTime.Seconds()))
	return &OrderPace{limiter: rate.NewLimiter(rate.Limit(perSecond), int(perSecond))}
}

// Budget returns the orders that may be given now, while the given number of earlier ones has no answer. Orders that are not answered
// are repeated, so that their number is limited to those of one second.
func (p *OrderPace) Budget(now time.Time, unanswered int) *Budget {
	burst := p.limiter.Burst()
	urgent := max(0, min(int(p.limiter.TokensAt(now)), burst-unanswered))
	return &Budget{Urgent: urgent, Patient: urgent - int(patientShare*float64(burst))}
}

// Take records that an order was given.
func (p *OrderPace) Take(now time.Time) { p.limiter.AllowN(now, 1) }

// TakeRepeat reports whether an order without an answer may be repeated now, and records that it is.
func (p *OrderPace) TakeRepeat(now time.Time) bool { return p.limiter.AllowN(now, 1) }
