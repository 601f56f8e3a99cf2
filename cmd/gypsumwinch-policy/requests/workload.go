// Package requests compares policies for requests on backend servers. It replays
// recorded traces against fake servers and entry VMs on a virtual clock, with
// baseline policies and the dispatcher, and prints a report. It does not cover
// jobs and starts no daemons. Read Workload and Policy first.
package requests

import (
	"time"

	"gypsumwinch/internal/structs"
)

const (
	slotsPerServer = 8
	// The demand triples within rampTime from peakStart on, stays there for
	// peakDuration and falls within rampTime.
	traceDuration = 80 * time.Second
	peakStart     = 30 * time.Second
	peakDuration  = 20 * time.Second
	rampTime      = 2 * time.Second
	peakFactor    = 3
	// stragglerFraction of the requests run stragglerFactor times longer. Half of
	// them do so in a second attempt too.
	stragglerFraction = 0.01
	stragglerFactor   = 100
)

// Work is one class of a workload with its demand.
type Work struct {
	Class structs.Class
	// PerSecond is the rate of arrivals outside the peak.
	PerSecond float64
	// HasPeak is set if the demand of this class triples in the peak.
	HasPeak bool
	// Median and Sigma describe the lognormal run time.
	Median time.Duration
	Sigma  float64
}

// DataCentre is the size of one data centre.
type DataCentre struct {
	Name    string
	Servers int
	// VMs holds the fraction of all requests that the load balancer, which is
	// uneven, sends to each entry VM.
	VMs []float64
}

// Workload describes a trace. The first class is the short urgent one, the
// second the non-idempotent one, the third the long one.
type Workload struct {
	Name    string
	Seed    uint64
	Centres []DataCentre
	Work    [3]Work
}

// Classes returns the classes with their targets.
func (w *Workload) Classes() []structs.Class {
	var out []structs.Class
	for _, work := range w.Work {
		out = append(out, work.Class)
	}
	return out
}

// Workloads returns the workloads of the two users.
func Workloads() []Workload {
	return []Workload{drukserwis(), desai()}
}

// drukserwis returns the workload of the user of that name.
func drukserwis() Workload {
	return Workload{
		Name: "drukserwis",
		Seed: 11,
		Centres: []DataCentre{
			{Name: "krk-a", Servers: 17, VMs: []float64{0.20, 0.14, 0.10}},
			{Name: "krk-b", Servers: 17, VMs: []float64{0.16, 0.12, 0.08}},
			{Name: "kat-a", Servers: 16, VMs: []float64{0.12, 0.08}},
		},
		Work: [3]Work{
			{
				Class:     newClass("hotline-lookup", 100*time.Millisecond, time.Second, false),
				PerSecond: 300, HasPeak: true, Median: 8 * time.Millisecond, Sigma: 0.5,
			},
			{
				Class:     newClass("part-matching", 20*time.Second, 2*time.Minute, true),
				PerSecond: 60, Median: 250 * time.Millisecond, Sigma: 0.6,
			},
			{
				Class:     newClass("vibration-analysis", time.Minute, 10*time.Minute, false),
				PerSecond: 160, Median: 1800 * time.Millisecond, Sigma: 0.5,
			},
		},
	}
}

// desai returns the workload of the user of that name.
func desai() Workload {
	return Workload{
		Name: "desai",
		Seed: 12,
		Centres: []DataCentre{
			{Name: "rajkot", Servers: 13, VMs: []float64{0.20, 0.12}},
			{Name: "junagadh", Servers: 13, VMs: []float64{0.16, 0.10}},
			{Name: "bhavnagar", Servers: 12, VMs: []float64{0.12, 0.10}},
			{Name: "jamnagar", Servers: 12, VMs: []float64{0.12, 0.08}},
		},
		Work: [3]Work{
			{
				Class:     newClass("label-check", 50*time.Millisecond, 500*time.Millisecond, false),
				PerSecond: 300, HasPeak: true, Median: 5 * time.Millisecond, Sigma: 0.4,
			},
			{
				Class:     newClass("lot-tracing", 30*time.Second, 2*time.Minute, true),
				PerSecond: 60, Median: 200 * time.Millisecond, Sigma: 0.5,
			},
			{
				Class:     newClass("report-build", time.Minute, 15*time.Minute, false),
				PerSecond: 60, Median: 5 * time.Second, Sigma: 0.6,
			},
		},
	}
}

// newClass returns a request class with its start and finish targets.
func newClass(name string, start, finish time.Duration, nonIdempotent bool) structs.Class {
	return structs.Class{
		Name:          name,
		Kind:          structs.KindRequest,
		StartTarget:   start,
		FinishTarget:  finish,
		NonIdempotent: nonIdempotent,
	}
}
