package estimate_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gypsumwinch/internal/estimate"
)

// TestQuantileBounds guards against quantiles that are off by more than one bucket,
// compared with the exact quantile of the same values.
func TestQuantileBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		us := rapid.SliceOfN(rapid.Int64Range(100, 1e10), 1, 200).Draw(t, "us")
		q := rapid.Float64Range(0.01, 1).Draw(t, "q")
		r := estimate.NewRunTimes(time.Minute)
		for _, runTime := range us {
			r.Observe(time.Second, time.Duration(runTime)*time.Microsecond)
		}
		slices.Sort(us)
		exact := us[max(0, int(math.Ceil(q*float64(len(us))-1e-9))-1)]
		got := r.Quantile(q).Seconds() * 1e6
		if got < float64(exact)*0.999 || got > float64(exact)*1.101 {
			t.Fatalf("quantile %g is %g us, exact %d us", q, got, exact)
		}
	})
}

// TestRunTimesFollowChange guards against estimates that stay at old values after
// the run times have changed by a factor of 10, and against an overflow of the
// weights after a long time.
func TestRunTimesFollowChange(t *testing.T) {
	is := is.New(t)
	r := estimate.NewRunTimes(time.Minute)
	now := time.Duration(0)
	observe := func(d time.Duration) {
		now += 100 * time.Millisecond
		r.Observe(now, d)
	}
	for range 6000 {
		observe(10 * time.Millisecond)
	}
	for range 1200 {
		observe(100 * time.Millisecond)
	}
	is.True(r.Quantile(0.5) > 90*time.Millisecond)
	now += 1000 * time.Hour
	observe(time.Second)
	is.True(r.Quantile(0.1) > 900*time.Millisecond) // old observations have no weight left
	is.True(math.Abs(r.Weight(now)-1) < 0.01)
	is.True(math.Abs(r.Mean().Seconds()-1) < 0.01)
}

// TestRunTimesEmpty guards against a division by zero before the first observation.
func TestRunTimesEmpty(t *testing.T) {
	is := is.New(t)
	r := estimate.NewRunTimes(time.Minute)
	is.Equal(r.Quantile(0.5), time.Duration(0))
	is.Equal(r.Mean(), time.Duration(0))
	is.Equal(r.Weight(time.Hour), 0.0)
}

// TestRateFollowsPeak guards against an estimate that follows a tripled arrival rate
// too slowly, and against a peak that decays at once or never.
func TestRateFollowsPeak(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	r := estimate.NewRate(500*time.Millisecond, 5*time.Minute)
	now := time.Duration(0)
	arrive := func(perSecond float64, until time.Duration) {
		for now < until {
			now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
			r.Observe(now)
		}
	}
	arrive(200, 10*time.Second)
	is.True(math.Abs(r.PerSecond(now)-200) < 60)
	arrive(600, 12*time.Second)
	is.True(math.Abs(r.PerSecond(now)-600) < 120)
	arrive(200, 30*time.Second)
	is.True(r.PerSecond(now) < 300)
	is.True(r.Peak(now) > 450)
	is.True(r.Peak(now+time.Hour) < 10)
}
