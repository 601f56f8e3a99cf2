package requests

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const traceDir = "../../../testdata/requests"

// TestRecordedTraces guards against traces that do not match the workloads whose
// figures are published.
func TestRecordedTraces(t *testing.T) {
	for _, w := range Workloads() {
		is := is.New(t)
		got, err := Load(traceDir, w)
		is.NoErr(err)
		is.True(reflect.DeepEqual(got, Generate(w)))
	}
}

// shorten keeps the start of a trace, so that a test takes little time.
func shorten(trace Trace, until time.Duration) Trace {
	n := slices.IndexFunc(trace.Requests, func(r Request) bool { return r.At > until })
	trace.Requests = trace.Requests[:n]
	return trace
}

// TestPoliciesAnswerAll guards against a policy or fake that loses a request,
// runs one twice at a time, or runs more than a server has slots for.
func TestPoliciesAnswerAll(t *testing.T) {
	is := is.New(t)
	trace := shorten(Generate(desai()), 3*time.Second)
	for _, p := range Policies() {
		r, err := runPolicy(trace, p, 1)
		is.NoErr(err)
		for _, c := range r.classes {
			is.Equal(c.completed+c.notRun+c.unknown, c.arrived)
		}
	}
}

// TestDispatchersAreRepeatable guards against dispatcher decisions that depend on map order or on
// real time.
func TestDispatchersAreRepeatable(t *testing.T) {
	is := is.New(t)
	trace := shorten(Generate(drukserwis()), 3*time.Second)
	policy := Policies()[8]
	is.True(policy.HasTargets)
	first, err := runPolicy(trace, policy, 7)
	is.NoErr(err)
	second, err := runPolicy(trace, policy, 7)
	is.NoErr(err)
	for i := range first.classes {
		is.True(first.classes[i].wait.Equals(second.classes[i].wait))
	}
	is.Equal(first.sends, second.sends)
}

// TestUrgentWaitBesideLongWork guards against a policy change that lets lookups
// wait behind long work in the peak. The virtual clock makes it independent of
// the machine.
func TestUrgentWaitBesideLongWork(t *testing.T) {
	is := is.New(t)
	for _, w := range Workloads() {
		trace := shorten(Generate(w), peakStart+8*time.Second)
		r, err := runPolicy(trace, Policies()[8], 1)
		is.NoErr(err)
		short := r.classes[0]
		is.True(float64(short.startedInTimeInPeak) >= startShareTarget*float64(short.arrivedInPeak))
		for _, c := range r.classes[1:] {
			is.Equal(c.completed, c.arrived) // patient classes lose no work
		}
	}
}

// TestUrgentVMBesideLongQueues guards against slots that follow the length of
// queues: a VM with label checks only must get its slots beside a VM of the same
// data centre with thousands of waiting report builds.
func TestUrgentVMBesideLongQueues(t *testing.T) {
	is := is.New(t)
	trace := shorten(Generate(desai()), 20*time.Second)
	const reports, checks = 6, 7 // the entry VMs of jamnagar
	var uneven []Request
	for _, r := range trace.Requests {
		r.At += time.Second // the VMs hold their first slots
		switch {
		case r.Class == 0 && r.VM%2 == 0:
			r.VM = checks
		case r.Class != 0:
			r.VM = reports
			uneven = append(uneven, r)
		}
		uneven = append(uneven, r)
	}
	trace.Requests = uneven
	r, err := runPolicy(trace, Policies()[8], 1)
	is.NoErr(err)
	short := r.classes[0]
	is.True(float64(short.startedInTime) >= startShareTarget*float64(short.arrived))
}
