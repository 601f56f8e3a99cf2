// Package check reads the observations of a cell of stand-ins from its control
// endpoint and checks invariants of the scheduler on them: no overcommitted worker, no
// task that runs twice at once, no overloaded backend server. It doesn't check what
// callers received; package caller does. Read Observation first.
package check

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"gypsumwinch/internal/httpjson"
	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin"
	"gypsumwinch/standin/backendserver"
	"gypsumwinch/standin/vmlist"
	"gypsumwinch/standin/worker"
)

// Client calls the control endpoint of a cell.
type Client struct {
	addr string
	http *httpjson.Client
}

// callTimeout limits one call. It is long because an observation can be large.
const callTimeout = 20 * time.Second

// NewClient returns a client of the control endpoint at addr.
func NewClient(addr string) *Client {
	return &Client{addr: addr, http: httpjson.New(httpjson.Options{Timeout: callTimeout, AnswerLimit: 1 << 30})}
}

// call sends in as JSON to the control endpoint and decodes the answer into out; nil
// means no body. The methods of Client call it.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	_, err := c.http.Do(ctx, httpjson.Call{
		Step: "control stand-ins", Method: method, Addr: c.addr, Path: path, In: in, Out: out,
	})
	return err
}

// Cell returns the addresses and VMs of the cell.
func (c *Client) Cell(ctx context.Context) (standin.Addresses, error) {
	var out standin.Addresses
	err := c.call(ctx, http.MethodGet, "/cell", nil, &out)
	return out, err
}

// SetFaults replaces the faults of a node, given as a JSON object.
func (c *Client) SetFaults(ctx context.Context, node string, faults json.RawMessage) error {
	return c.call(ctx, http.MethodPut, "/nodes/"+node+"/faults", faults, nil)
}

// PutVM adds a VM to the VM list or replaces the one with the same id.
func (c *Client) PutVM(ctx context.Context, vm structs.VM) error {
	return c.call(ctx, http.MethodPut, "/vms", vm, nil)
}

// RemoveVM removes the VM with the given id from the VM list.
func (c *Client) RemoveVM(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, "/vms/"+id, nil, nil)
}

// VMList returns the VMs in the VM list, without its lag.
func (c *Client) VMList(ctx context.Context) ([]structs.VM, error) {
	var out vmlist.Observed
	err := c.call(ctx, http.MethodGet, "/nodes/"+standin.NodeVMList+"/observed", nil, &out)
	return out.VMs, err
}

// Stream returns the retained entries of a stream of the log.
func (c *Client) Stream(ctx context.Context, name string) ([]platform.Entry, error) {
	var out []platform.Entry
	err := c.call(ctx, http.MethodGet, "/streams/"+name, nil, &out)
	return out, err
}

// Observation holds the observations of all workers and backend servers of a cell,
// by VM id.
type Observation struct {
	Workers map[string]worker.Observed
	Servers map[string]backendserver.Observed
}

// Observe reads the observations of all workers and backend servers, one after the
// other, so they are not of one instant.
func (c *Client) Observe(ctx context.Context) (*Observation, error) {
	cell, err := c.Cell(ctx)
	if err != nil {
		return nil, err
	}
	o := &Observation{
		Workers: make(map[string]worker.Observed),
		Servers: make(map[string]backendserver.Observed),
	}
	for _, vm := range cell.VMs {
		path := "/nodes/" + vm.ID + "/observed"
		switch vm.Kind {
		case structs.VMWorker:
			var w worker.Observed
			err = c.call(ctx, http.MethodGet, path, nil, &w)
			o.Workers[vm.ID] = w
		case structs.VMServer:
			var s backendserver.Observed
			err = c.call(ctx, http.MethodGet, path, nil, &s)
			o.Servers[vm.ID] = s
		}
		if err != nil {
			return nil, err
		}
	}
	return o, nil
}
