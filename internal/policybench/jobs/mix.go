package jobs

import (
	_ "embed" // for the recorded mix
	"encoding/csv"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"gypsumwinch/internal/structs"
)

//go:embed testdata/mix.csv
var mixCSV string

// DeclaredTask is a task of the mix with the class, resources and run time that
// its job declares.
type DeclaredTask struct {
	Class     string
	Resources structs.Resources
	RunTime   time.Duration
}

// workload describes the tasks of one class in the mix. Sizes are drawn from the
// lists with equal probability; share is the fraction of the tasks.
type workload struct {
	class string
	share float64
	// milliCPU, memoryMBPerCore and accelerators are the possible values.
	milliCPU, memoryMBPerCore, accelerators []int64
	runTime                                 time.Duration
}

// workloads follows section 1.1 of the design page. A fifth of the tasks are
// services. The number of accelerators matches section 1.6: 1.2 for each worker.
var workloads = []workload{
	{"hotline", 0.30, []int64{250, 500, 1000}, []int64{1024, 2048}, []int64{0}, 5 * time.Second},
	{"matching", 0.20, []int64{500, 1000, 2000}, []int64{1024, 2048}, []int64{0}, time.Minute},
	{"web", 0.20, []int64{500, 1000, 2000, 4000}, []int64{2048, 3072}, []int64{0}, 0},
	{"report", 0.15, []int64{2000, 4000, 8000}, []int64{1024, 2048, 4096}, []int64{0}, 20 * time.Minute},
	{"vibration", 0.11, []int64{2000, 4000, 6000}, []int64{1024, 2048}, []int64{0}, 5 * time.Minute},
	{"training", 0.04, []int64{2000, 4000}, []int64{2048}, []int64{1, 2, 4}, time.Hour},
}

func pick(rng *rand.Rand, choices []int64) int64 {
	return choices[rng.IntN(len(choices))]
}

// Generate writes a mix of n declared tasks as CSV: class, thousandths of a
// core, MB, accelerators and run time in seconds. The same seed gives the same
// mix.
func Generate(w io.Writer, seed uint64, n int) error {
	rng := rand.New(rand.NewPCG(seed, seed))
	out := csv.NewWriter(w)
	for range n {
		k := drawWorkload(rng)
		cpu := pick(rng, k.milliCPU)
		row := []string{
			k.class, strconv.FormatInt(cpu, 10),
			strconv.FormatInt(cpu*pick(rng, k.memoryMBPerCore)/1000, 10),
			strconv.FormatInt(pick(rng, k.accelerators), 10),
			strconv.FormatFloat(k.runTime.Seconds()*(0.2+1.6*rng.Float64()), 'f', 1, 64),
		}
		if err := out.Write(row); err != nil {
			return fmt.Errorf("write mix: %w", err)
		}
	}
	out.Flush()
	return out.Error()
}

// drawWorkload returns a random workload, weighted by share. Generate calls it
// for each task.
func drawWorkload(rng *rand.Rand) workload {
	x := rng.Float64()
	for _, k := range workloads {
		x -= k.share
		if x < 0 {
			return k
		}
	}
	return workloads[0]
}

// Mix returns the tasks of the recorded mix in testdata/mix.csv. It returns an
// error if a row does not parse.
func Mix() ([]DeclaredTask, error) {
	rows, err := csv.NewReader(strings.NewReader(mixCSV)).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read mix: %w", err)
	}
	tasks := make([]DeclaredTask, len(rows))
	for i, row := range rows {
		var n [3]int64
		for f := range n {
			if n[f], err = strconv.ParseInt(row[f+1], 10, 64); err != nil {
				return nil, fmt.Errorf("read mix, row %d: %w", i, err)
			}
		}
		seconds, err := strconv.ParseFloat(row[4], 64)
		if err != nil {
			return nil, fmt.Errorf("read mix, row %d: %w", i, err)
		}
		tasks[i] = DeclaredTask{
			Class:     row[0],
			Resources: structs.Resources{MilliCPU: n[0], MemoryMB: n[1], Accelerators: n[2]},
			RunTime:   time.Duration(seconds * float64(time.Second)),
		}
	}
	return tasks, nil
}

// benchmarkConfig returns the classes of the mix with the targets of the design
// page. It has no team, so that quotas do not limit the results.
func benchmarkConfig() structs.ClusterConfig {
	batch := func(name string, start, finish time.Duration) structs.Class {
		return structs.Class{Name: name, Kind: structs.KindBatch, StartTarget: start, FinishTarget: finish}
	}
	return structs.ClusterConfig{Classes: []structs.Class{
		batch("hotline", 8*time.Second, time.Minute),
		batch("matching", 10*time.Minute, time.Hour),
		batch("report", 30*time.Minute, 4*time.Hour),
		batch("vibration", 30*time.Minute, 4*time.Hour),
		batch("training", time.Hour, 12*time.Hour),
		{Name: "web", Kind: structs.KindService, StartTarget: 2 * time.Minute},
	}}
}

// job returns a job of this one task. Tasks of class web are services.
func (d DeclaredTask) job(id string) structs.Job {
	return structs.Job{ID: id, Class: d.Class, Groups: []structs.TaskGroup{{
		Count: 1, Resources: d.Resources, RunTime: d.RunTime, Service: d.Class == "web",
	}}}
}
