package structs

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
