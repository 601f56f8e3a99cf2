package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/clusterconfig"
	"gypsumwinch/internal/structs"
)

func near(got, want float64) bool { return math.Abs(got-want) < 1e-9 }

// Guards against wrong figures on the page from an error in the fitted line or
// in the rates of heartbeats and appends.
func TestArithmetic(t *testing.T) {
	is := is.New(t)
	line := Fit([]float64{1, 2, 3}, []float64{5, 7, 9})
	is.True(near(line.Fixed, 3) && near(line.Slope, 2) && near(line.At(10), 23))
	is.True(near(Fit([]float64{4}, []float64{8}).Slope, 2))
	is.Equal(Fit(nil, nil), Line{})
	target := DefaultTarget()
	// 3 VMs every 2 s, and one of the others each second.
	is.True(near(target.HeartbeatsPerSecond(), 2.5))
	is.True(near(Target{VMs: 4, DataCentres: 1}.HeartbeatsPerSecond(), 1.5))
	is.Equal(AppendsPerSecond(0, 0), 0.0)
	is.True(near(AppendsPerSecond(math.Inf(1), 0), 25))
	is.True(near(AppendsPerSecond(10, 10*time.Millisecond), 1/0.15))
}

// Guards against figures that are too low because the fake cluster,
// configuration or job plane is smaller than the target.
func TestFakesHaveTheTargetSize(t *testing.T) {
	is := is.New(t)
	target := DefaultTarget()
	list := clusterVMs(target, target.VMs, target.Workers)
	count, accelerators := map[structs.VMKind]int{}, int64(0)
	for _, vm := range list {
		count[vm.Kind]++
		accelerators += vm.Capacity.Accelerators
	}
	is.Equal(count[structs.VMEntry], target.VMs)
	is.Equal(count[structs.VMWorker], target.Workers)
	is.Equal(accelerators, int64(target.Accelerators))
	parsed, err := clusterconfig.Parse("config", []byte(configYAML(target, 3)))
	is.NoErr(err)
	is.Equal(len(parsed.Teams), target.Teams)
	p := newJobPlane(target, planeSize{Workers: 4, Tasks: 100})
	running := 0
	for _, attempts := range p.state.Running() {
		running += len(attempts)
	}
	is.Equal(running, 100)
}
