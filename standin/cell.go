// Package standin runs a cell of stand-ins for the platform, the workers and the
// backend servers on loopback ports, for tests and trials. It doesn't run daemons:
// whoever starts daemons passes them the addresses of the cell. Read Cell first.
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/backendserver"
	"gypsumwinch/standin/control"
	"gypsumwinch/standin/logstore"
	"gypsumwinch/standin/vmlist"
	"gypsumwinch/standin/worker"
)

// CellOptions describe a cell. Zero fields mean the defaults.
type CellOptions struct {
	// DataCentres holds the names of the data centres. Default: dc1 and dc2.
	DataCentres []string `yaml:"data_centres"`
	// ServersPerDC and WorkersPerDC are counts per data centre. Default: 4.
	// A negative count means none.
	ServersPerDC int `yaml:"servers_per_dc"`
	WorkersPerDC int `yaml:"workers_per_dc"`
	// WorkersPerRack is the number of workers in a rack. Default: 2.
	WorkersPerRack int `yaml:"workers_per_rack"`
	// Slots and Connections are per backend server. Default: 8 and 64.
	Slots       int `yaml:"slots"`
	Connections int `yaml:"connections"`
	// WorkerCapacity defaults to 32 cores and 64 GB.
	WorkerCapacity structs.Resources `yaml:"worker_capacity"`
	// RetainAge and RetainCount limit the entries that the log retains per stream.
	// Zero means no limit.
	RetainAge   time.Duration `yaml:"retain_age"`
	RetainCount int           `yaml:"retain_count"`
	// ControlAddr is the address of the control endpoint. Default: a free
	// port on loopback.
	ControlAddr string `yaml:"control_addr"`
}

// setDefaults replaces zero fields by their defaults. StartCell calls it.
func (o *CellOptions) setDefaults() {
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"dc1", "dc2"}
	}
	setDefault(&o.ServersPerDC, 4)
	setDefault(&o.WorkersPerDC, 4)
	setDefault(&o.WorkersPerRack, 2)
	setDefault(&o.Slots, 8)
	setDefault(&o.Connections, 64)
	if o.WorkerCapacity.IsZero() {
		o.WorkerCapacity = structs.Resources{MilliCPU: 32000, MemoryMB: 64 << 10}
	}
	if o.ControlAddr == "" {
		o.ControlAddr = anyPortAddr
	}
}

// setDefault sets n to value if it is 0. setDefaults calls it for each count.
func setDefault(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

// anyPortAddr is the address to listen on for a free port on loopback.
const anyPortAddr = "127.0.0.1:0"

// Cell is a running cell of stand-ins, as StartCell returns it.
type Cell struct {
	Log         *logstore.Log
	VMList      *vmlist.List
	Workers     map[string]*worker.Worker
	Servers     map[string]*backendserver.Server
	LogAddr     string
	VMListAddr  string
	ControlAddr string
	// VMs holds the workers and backend servers. Whoever starts daemons adds entry
	// VMs to VMList.
	VMs []structs.VM

	nodes       map[string]control.Node
	httpServers []*http.Server
	closeOnce   sync.Once
}

// Names of the nodes that are not VMs.
const (
	NodeLog    = "log"
	NodeVMList = "vmlist"
)

// StartCell starts a cell, which stops when ctx ends or Close is called. It returns an
// error if an address can't be listened on; no stand-in runs then.
func StartCell(ctx context.Context, opts CellOptions) (*Cell, error) {
	opts.setDefaults()
	c := &Cell{
		Log:     logstore.New(logstore.Options{RetainAge: opts.RetainAge, RetainCount: opts.RetainCount}),
		Workers: make(map[string]*worker.Worker),
		Servers: make(map[string]*backendserver.Server),
		nodes:   make(map[string]control.Node),
	}
	if err := c.start(opts); err != nil {
		c.Close()
		return nil, err
	}
	context.AfterFunc(ctx, c.Close)
	return c, nil
}

// start starts the stand-ins and the control endpoint. StartCell calls it once.
func (c *Cell) start(opts CellOptions) error {
	for _, dc := range opts.DataCentres {
		if err := c.startDataCentre(dc, opts); err != nil {
			return err
		}
	}
	var err error
	if c.LogAddr, err = c.startNode(NodeLog, c.Log, nil); err != nil {
		return err
	}
	c.VMList = vmlist.New(c.VMs)
	if c.VMListAddr, err = c.startNode(NodeVMList, c.VMList, nil); err != nil {
		return err
	}
	c.ControlAddr, err = c.serve(opts.ControlAddr, c.controlHandler(), nil)
	return err
}

// startDataCentre starts the backend servers and workers of a data centre and adds
// them to c.VMs. start calls it for each data centre.
func (c *Cell) startDataCentre(dc string, opts CellOptions) error {
	for i := range opts.ServersPerDC {
		id := fmt.Sprintf("%s-s%d", dc, i+1)
		server := backendserver.New(opts.Slots)
		addr, err := c.startNode(id, server, server.ConnState)
		if err != nil {
			return err
		}
		c.Servers[id] = server
		c.VMs = append(c.VMs, structs.VM{
			ID: id, DataCentre: dc, Addr: addr, Kind: structs.VMServer, State: structs.VMLive,
			Slots: opts.Slots, Connections: opts.Connections,
		})
	}
	for i := range opts.WorkersPerDC {
		id := fmt.Sprintf("%s-w%d", dc, i+1)
		w := worker.New(id, opts.WorkerCapacity)
		addr, err := c.startNode(id, w, nil)
		if err != nil {
			return err
		}
		c.Workers[id] = w
		c.VMs = append(c.VMs, structs.VM{
			ID: id, DataCentre: dc, Addr: addr, Kind: structs.VMWorker, State: structs.VMLive,
			Rack: fmt.Sprintf("%s-r%d", dc, i/opts.WorkersPerRack+1), Capacity: opts.WorkerCapacity,
		})
	}
	return nil
}

// startNode serves a stand-in on a free port and returns its address. state, if not
// nil, is called at each change of state of a connection.
func (c *Cell) startNode(id string, node control.Node, state func(net.Conn, http.ConnState)) (string, error) {
	c.nodes[id] = node
	return c.serve(anyPortAddr, node.Handler(), state)
}

// serve starts an HTTP server, which Close stops, and returns the address on which it
// listens. It serves the stand-ins and the control endpoint.
func (c *Cell) serve(addr string, handler http.Handler, state func(net.Conn, http.ConnState)) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", eris.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler, ConnState: state, ReadHeaderTimeout: readHeaderTimeout}
	c.httpServers = append(c.httpServers, server)
	go server.Serve(listener) //nolint:errcheck // Serve returns when Close is called.
	return listener.Addr().String(), nil
}

const readHeaderTimeout = 10 * time.Second

// Close stops all stand-ins and their tasks. Further calls have no effect.
func (c *Cell) Close() {
	c.closeOnce.Do(func() {
		for _, w := range c.Workers {
			w.Close()
		}
		for _, s := range c.httpServers {
			s.Close()
		}
	})
}
