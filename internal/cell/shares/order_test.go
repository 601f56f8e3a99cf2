package shares

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// TestTurnsFollowWeights guards the order between customers: one that uses little comes first, a
// customer with twice the weight gets twice the room, and items of one customer keep their order.
func TestTurnsFollowWeights(t *testing.T) {
	is := is.New(t)
	l := NewLedger(0)
	l.Configure([]cell.Customer{{Name: "one", Weight: 1}, {Name: "two", Weight: 2}, {Name: "busy", Weight: 1}})
	cpu := func(n int64) Run { return Run{Need: structs.Resources{MilliCPU: n}} }
	l.Account("busy").Open(Run{Need: structs.Resources{MilliCPU: 1, MemoryMB: 40}}) // memory is what it has most of
	turns := NewTurns[string](structs.Resources{MilliCPU: 100, MemoryMB: 100})
	for range 10 {
		turns.Add(l.Account("busy"), "busy")
	}
	for range 40 {
		turns.Add(l.Account("one"), "one")
		turns.Add(l.Account("two"), "two")
	}
	placed := map[string]int{}
	for range 30 {
		name, ok := turns.Next()
		is.True(ok)
		placed[name]++
		l.Account(name).Open(cpu(2))
	}
	is.Equal(placed, map[string]int{"one": 10, "two": 20})
	_, ok := NewTurns[int](structs.Resources{}).Next()
	is.True(!ok)
}

// TestTurnsWithEqualSharesKeepTheOrder guards steps that find no room: they do not put the
// others of their customer before those of customers with the same share.
func TestTurnsWithEqualSharesKeepTheOrder(t *testing.T) {
	is := is.New(t)
	l := NewLedger(0)
	turns := NewTurns[int](structs.Resources{MilliCPU: 100})
	for i, name := range []string{"a", "a", "b", "c", "b", "a"} {
		turns.Add(l.Account(name), i)
	}
	for want := range 6 {
		got, ok := turns.Next()
		is.True(ok)
		is.Equal(got, want)
	}
	_, ok := turns.Next()
	is.True(!ok)
}

// TestJobsBeyondTheWeightAreExcess guards the limit of a second: bursts of one second's worth
// are owed, and neither a VM whose clock is ahead nor a clock that is set back makes all later
// jobs excess.
func TestJobsBeyondTheWeightAreExcess(t *testing.T) {
	is := is.New(t)
	l := NewLedger(0)
	l.Configure([]cell.Customer{{Name: "c", Weight: 4}})
	start := time.Unix(1000, 0)
	count := func(name string, n int, at, now time.Time) (excess int) {
		for range n {
			if l.Account(name).CountJob(at, now) {
				excess++
			}
		}
		return excess
	}
	is.Equal(count("c", 6, start, start), 2)
	is.Equal(count("c", 2, start.Add(250*time.Millisecond), start.Add(time.Second)), 1)
	is.Equal(count("c", 5, start.Add(time.Hour), start.Add(2*time.Second)), 1)    // a clock ahead
	is.Equal(count("c", 5, start.Add(-time.Hour), start.Add(-59*time.Minute)), 5) // set back
	is.Equal(count("c", 5, start.Add(-58*time.Minute), start.Add(-58*time.Minute)), 1)
	is.Equal(count("none", 100, start, start), 0)
}

// TestFullnessDoesNotFlap guards the order against a change with each task that ends.
func TestFullnessDoesNotFlap(t *testing.T) {
	is := is.New(t)
	var f Fullness
	for _, step := range []struct {
		used, wanted int64
		want         bool
	}{{75, 0, false}, {80, 0, true}, {75, 0, true}, {69, 0, false}, {75, 25, false}, {10, 91, true}, {69, 0, false}} {
		is.Equal(f.Update(structs.Resources{MemoryMB: step.used}, structs.Resources{MemoryMB: step.wanted}, structs.Resources{MilliCPU: 100, MemoryMB: 100}), step.want)
	}
}
