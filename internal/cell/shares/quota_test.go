package shares

import (
	"testing"

	"pgregory.net/rapid"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

func drawResources(t *rapid.T, label string, most int64) structs.Resources {
	n := func(part string) int64 { return rapid.Int64Range(0, most).Draw(t, label+part) }
	return structs.Resources{MilliCPU: n(" cpu"), MemoryMB: n(" memory"), Accelerators: n(" accelerators")}
}

// TestQuotaHoldsAtEachStart guards QUOTA for any order of starts, ends and changes of the quota:
// no start of a single task brings the customer above its quota, unless it runs alone, and no
// gang brings it above the quota with the overshoot.
func TestQuotaHoldsAtEachStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(0.1)
		var open []Run
		configure := func(*rapid.T) {
			l.Configure([]cell.Customer{{Name: "c", Weight: 1, MaxRunning: drawResources(t, "quota", 100)}})
		}
		configure(t)
		cycle := 0
		t.Repeat(map[string]func(*rapid.T){
			"configure": configure,
			"cycle":     func(*rapid.T) { cycle++ },
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "run")
				l.Account("c").Close(open[i])
				open = append(open[:i], open[i+1:]...)
			},
			"start": func(t *rapid.T) {
				a := l.Account("c")
				c := Claim{Need: drawResources(t, "need", 60), Tasks: rapid.IntRange(1, 5).Draw(t, "tasks"), IsGang: rapid.Bool().Draw(t, "gang")}
				n := a.Room(c, cycle, ForPlacement)
				if c.IsGang && n != 0 && n != c.Tasks {
					t.Fatalf("%d of the %d tasks of a gang may start", n, c.Tasks)
				}
				if n == 0 {
					a.Hold(c, cycle, ForPlacement)
					return
				}
				before := a.running
				for range n {
					open = append(open, Run{Need: c.Need})
					a.Open(open[len(open)-1])
				}
				checkStart(t, a, before, c, n)
			},
		})
	})
}

// checkStart checks what the start of n tasks of a claim has brought a customer to.
func checkStart(t *rapid.T, a *Account, before structs.Resources, c Claim, n int) {
	if countWithin(a.quota, a.running, structs.Resources{}, 1) == 1 {
		return
	}
	switch {
	case a.runs > n:
		t.Fatalf("a customer with %v running starts %d of %+v with quota %v", before, n, c, a.quota)
	case n == 1:
		return // one task alone
	case !c.IsGang || a.NeverFits(c):
		t.Fatalf("%d of %+v start alone with quota %v", n, c, a.quota)
	}
}

// BenchmarkRun measures what a run costs: the question for room, its start and its end.
func BenchmarkRun(b *testing.B) {
	l := NewLedger(0.1)
	l.Configure([]cell.Customer{{Name: "c", Weight: 1, MaxRunning: structs.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}}})
	a := l.Account("c")
	for range 39_000 {
		a.Open(Run{Need: structs.Resources{MilliCPU: 1000, MemoryMB: 100}})
	}
	c := Claim{Need: structs.Resources{MilliCPU: 1000, MemoryMB: 100}, Tasks: 3}
	for b.Loop() {
		a.Room(c, 1, ForPlacement)
		a.Open(Run{Need: c.Need})
		a.Close(Run{Need: c.Need})
	}
}
