package structs

import "fmt"

// Resources is an amount of CPU time, memory and accelerators, used for demands and
// for capacities.
type Resources struct {
	// MilliCPU is CPU time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu" yaml:"milli_cpu"`
	// MemoryMB is memory in mebibytes.
	MemoryMB int64 `json:"memory_mb" yaml:"memory_mb"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators" yaml:"accelerators"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o. Fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Times returns r multiplied by n, such as the demand of n equal tasks.
func (r Resources) Times(n int64) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
	}
}

// Fits reports whether no field of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU &&
		r.MemoryMB <= free.MemoryMB &&
		r.Accelerators <= free.Accelerators
}

// IsZero reports whether every field is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// String returns r in the form that logs and the command line print.
func (r Resources) String() string {
	return fmt.Sprintf("%dm cpu, %d MB, %d acc", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
