package estimate

import (
	"math"
	"time"
)

// Rate estimates the arrival rate of one class and its recent peak. It is not safe
// for concurrent use.
type Rate struct {
	window       time.Duration
	peakHalfLife time.Duration
	// rate is the arrivals per second at updatedAt, peak that at peakAt.
	updatedAt time.Duration
	rate      float64
	peakAt    time.Duration
	peak      float64
}

// NewRate returns a rate that averages over about the given window. A past peak
// halves every peakHalfLife.
func NewRate(window, peakHalfLife time.Duration) *Rate {
	return &Rate{window: window, peakHalfLife: peakHalfLife}
}

// Observe adds one arrival at now.
func (r *Rate) Observe(now time.Duration) {
	r.rate = r.PerSecond(now) + 1/r.window.Seconds()
	r.updatedAt = now
	r.peak = max(r.Peak(now), r.rate)
	r.peakAt = now
}

// PerSecond returns the rate in arrivals per second. It decays exponentially while
// there are no arrivals.
func (r *Rate) PerSecond(now time.Duration) float64 {
	return r.rate * math.Exp(-float64(now-r.updatedAt)/float64(r.window))
}

// Peak returns the highest rate so far in arrivals per second, each rate reduced by
// the decay since then.
func (r *Rate) Peak(now time.Duration) float64 {
	return r.peak * math.Exp2(-float64(now-r.peakAt)/float64(r.peakHalfLife))
}
