package requests

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Policy is a policy under comparison.
type Policy struct {
	Name string
	// HasTargets is set if the report compares the policy with the targets.
	HasTargets bool
	run        func(c *cluster, seed uint64) error
}

// Policies returns the policies in the order of the table.
func Policies() []Policy {
	baseline := func(name string, ch func(*cluster) chooser) Policy {
		return Policy{Name: name, run: func(c *cluster, _ uint64) error {
			return runBaseline(c, ch(c))
		}}
	}
	least := func(name string, interval time.Duration) Policy {
		return baseline(name, func(c *cluster) chooser { return newLeastKnown(c, interval) })
	}
	return []Policy{
		baseline("fifo-random", func(c *cluster) chooser { return randomChoice{c} }),
		baseline("fifo-round-robin", func(c *cluster) chooser { return newRoundRobin(c) }),
		baseline("two-choices", func(c *cluster) chooser { return newTwoChoices(c, false) }),
		baseline("two-choices-memory", func(c *cluster) chooser { return newTwoChoices(c, true) }),
		least("least-known-5ms", 5*time.Millisecond),
		least("least-known-50ms", 50*time.Millisecond),
		least("least-known-500ms", 500*time.Millisecond),
		{Name: "slots-static", run: func(c *cluster, seed uint64) error {
			return runDispatchers(c, seed, false)
		}},
		{Name: "slots-moved", HasTargets: true, run: func(c *cluster, seed uint64) error {
			return runDispatchers(c, seed, true)
		}},
	}
}

// Row is the outcome of one policy on one trace.
type Row struct {
	Trace  Trace
	Policy Policy
	mixed  *results
	// HeadOfLine is the p99 wait of the short class with the other classes
	// beside it, divided by that without them.
	HeadOfLine float64
}

// Compare replays the trace with the policy twice: whole, and with the short class
// only.
func Compare(trace Trace, p Policy, seed uint64) (Row, error) {
	mixed, err := runPolicy(trace, p, seed)
	if err != nil {
		return Row{}, err
	}
	short := trace
	short.Requests = slices.DeleteFunc(slices.Clone(trace.Requests), func(r Request) bool {
		return r.Class != 0
	})
	alone, err := runPolicy(short, p, seed)
	if err != nil {
		return Row{}, err
	}
	with := mixed.classes[0].wait.ValueAtQuantile(99)
	without := alone.classes[0].wait.ValueAtQuantile(99)
	return Row{
		Trace:      trace,
		Policy:     p,
		mixed:      mixed,
		HeadOfLine: float64(with) / float64(without),
	}, nil
}

// runPolicy replays the trace once with the policy.
func runPolicy(trace Trace, p Policy, seed uint64) (*results, error) {
	c := newCluster(trace, seed)
	if err := p.run(c, seed); err != nil {
		return nil, eris.Wrapf(err, "policy %s, trace %s", p.Name, trace.Name)
	}
	return c.results, nil
}
