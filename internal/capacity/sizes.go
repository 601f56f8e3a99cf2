// Package capacity computes the figures of docs/CAPACITY.md: it takes the cost
// of one message, task, job, worker or entry VM on this machine at several
// sizes, and extrapolates to the size of section 1.6 of the design page. It is
// not a load test of a deployment: all servers are stand-ins in this process.
// Read Target first, then measure in meter.go.
package capacity

import "time"

// Target is the size that the system must support within two years.
type Target struct {
	Workers, Accelerators      int
	Tasks, JobsPerDay          int
	StartsPerSecond            float64
	Teams                      int
	DataCentres, VMs           int
	Changes, Replacements      int // per day
	CorePercent, MB, KBPerNode float64
}

// DefaultTarget returns the size of section 1.6 of the design page, with 4 entry
// VMs in each data centre.
func DefaultTarget() Target {
	return Target{
		Workers: 1300, Accelerators: 1600, Tasks: 39_000, JobsPerDay: 7800, StartsPerSecond: 69,
		Teams: 67, DataCentres: 14, VMs: 56, Changes: 3200, Replacements: 370,
		CorePercent: 2.2, MB: 128, KBPerNode: 3,
	}
}

// Intervals and limits, equal to those of internal/daemon and internal/ownership.
const (
	localHeartbeatInterval  = 2 * time.Second // to each VM of the data centre
	remoteHeartbeatInterval = time.Second     // to one VM of another, in turn
	ownerHeartbeatInterval  = 2 * time.Second
	leaseRenewInterval      = 3 * time.Second
	logReadTimeout          = 5 * time.Second // of all streams except "owners"
	allocationInterval      = 5 * time.Second
	groupCommitInterval     = 40 * time.Millisecond
	maxReadRecords          = 2000
	maxReadLargeRecords     = 100
)

// PerDataCentre divides a total by the number of data centres.
func (t Target) PerDataCentre(total float64) float64 { return total / float64(t.DataCentres) }

// HeartbeatsPerSecond returns the number of heartbeats per second that one entry
// VM sends. It receives as many.
func (t Target) HeartbeatsPerSecond() float64 {
	near := float64(t.VMs/t.DataCentres - 1)
	far := 0.0
	if t.DataCentres > 1 {
		far = 1 / remoteHeartbeatInterval.Seconds()
	}
	return near/localHeartbeatInterval.Seconds() + far
}

// AppendsPerSecond returns the rate at which one writer of a stream appends
// batches when records arrive at the given rate per second and one append takes
// call. The writer waits for a first record, collects more for
// groupCommitInterval and writes.
func AppendsPerSecond(records float64, call time.Duration) float64 {
	if records <= 0 {
		return 0
	}
	return 1 / (1/records + groupCommitInterval.Seconds() + call.Seconds())
}

// Line is a cost of Fixed + Slope*n.
type Line struct{ Fixed, Slope float64 }

// At returns the cost at n.
func (l Line) At(n float64) float64 { return l.Fixed + l.Slope*n }

// Fit returns the least-squares line through the points (x, y). With one point,
// or equal x, the line goes through the origin.
func Fit(x, y []float64) Line {
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	n := float64(len(x))
	d := n*sxx - sx*sx
	if d == 0 {
		if sx == 0 {
			return Line{}
		}
		return Line{Slope: sy / sx}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Fixed: (sy - slope*sx) / n, Slope: slope}
}
