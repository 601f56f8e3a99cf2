package structs

import "github.com/rotisserie/eris"

// VMKind is the role of a VM.
type VMKind string

// Kinds of VMs: VMEntry receives requests and jobs, VMWorker runs tasks, VMServer is a
// backend server.
const (
	VMEntry  VMKind = "entry"
	VMWorker VMKind = "worker"
	VMServer VMKind = "server"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the platform's list. A leaving VM is about to be shut down.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Addr is the host:port of the VM's service.
	Addr  string  `json:"addr"`
	Kind  VMKind  `json:"kind"`
	State VMState `json:"state"`
	// Rack is set for workers.
	Rack string `json:"rack,omitempty"`
	// Capacity is set for workers.
	Capacity Resources `json:"capacity,omitzero"`
	// Slots and Connections are the limits of a backend server: requests that it runs
	// at the same time, and open connections. They are 0 for other VMs.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
}

// maxVMAmount bounds the amounts of a listed VM, so that sums of them do not overflow.
const maxVMAmount = int64(1) << 40

// Validate returns an error that names the first value of a listed VM that cannot be used. A
// client of the list calls it for each entry.
func (vm *VM) Validate() error {
	if vm.ID == "" || vm.DataCentre == "" {
		return eris.Errorf("VM %q has no id or no data centre", vm.ID)
	}
	if vm.Kind != VMEntry && vm.Kind != VMWorker && vm.Kind != VMServer {
		return eris.Errorf("VM %q has unknown kind %q", vm.ID, vm.Kind)
	}
	if vm.State != VMLive && vm.State != VMLeaving {
		return eris.Errorf("VM %q has unknown state %q", vm.ID, vm.State)
	}
	if err := ValidateAddr(vm.Addr); err != nil {
		return eris.Wrapf(err, "VM %q", vm.ID)
	}
	c := vm.Capacity
	for _, amount := range []int64{c.MilliCPU, c.MemoryMB, c.Accelerators, int64(vm.Slots), int64(vm.Connections)} {
		if amount < 0 || amount > maxVMAmount {
			return eris.Errorf("VM %q has an amount of %d", vm.ID, amount)
		}
	}
	return nil
}
