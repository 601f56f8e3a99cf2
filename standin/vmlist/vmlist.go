// Package vmlist is a stand-in for the platform's list of VMs: an HTTP server that
// returns the VMs with an ETag and can delay the appearance of changes. It doesn't
// start or stop VMs; tests set its contents. Read List first.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/control"
)

// Faults are the faults that the list injects, as set on the control endpoint.
type Faults struct {
	control.Network
	// LagMS is the delay in milliseconds until a change appears in the list.
	LagMS int `json:"lag_ms,omitempty"`
}

// Observed is what the list reports on the control endpoint.
type Observed struct {
	// VMs is the actual state, without lag.
	VMs []structs.VM `json:"vms"`
	// Calls counts the requests for the list.
	Calls int `json:"calls"`
}

// version is the set of VMs from a time on.
type version struct {
	changedAt time.Time
	vms       []structs.VM
}

// List is the stand-in for the VM list. It is safe for concurrent use.
type List struct {
	mu     sync.Mutex
	faults Faults
	// versions is ordered by time; the last one is the actual state.
	versions []version
	calls    int
}

var _ control.Node = (*List)(nil)

// New returns a list that shows vms at once, whatever the lag.
func New(vms []structs.VM) *List {
	return &List{versions: []version{{vms: slices.Clone(vms)}}}
}

// Set replaces all VMs; clients see it after the lag.
func (l *List) Set(vms []structs.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{changedAt: time.Now(), vms: slices.Clone(vms)})
}

// Put adds a VM or replaces the one with the same id; clients see it after the lag.
func (l *List) Put(vm structs.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := slices.DeleteFunc(slices.Clone(l.actualVMs()), func(other structs.VM) bool { return other.ID == vm.ID })
	l.versions = append(l.versions, version{changedAt: time.Now(), vms: append(vms, vm)})
}

// Remove removes the VM with the given id, if listed; clients see it after the lag.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := slices.DeleteFunc(slices.Clone(l.actualVMs()), func(other structs.VM) bool { return other.ID == id })
	l.versions = append(l.versions, version{changedAt: time.Now(), vms: vms})
}

// actualVMs returns the VMs without lag. l.mu is locked by the caller.
func (l *List) actualVMs() []structs.VM {
	return l.versions[len(l.versions)-1].vms
}

// listedVMs returns the VMs that clients see, with lag. Handler calls it for each
// request with l.mu locked.
func (l *List) listedVMs() []structs.VM {
	cutoff := time.Now().Add(-time.Duration(l.faults.LagMS) * time.Millisecond)
	for i := len(l.versions) - 1; i > 0; i-- {
		if !l.versions[i].changedAt.After(cutoff) {
			return l.versions[i].vms
		}
	}
	return l.versions[0].vms
}

// Handler implements control.Node. It serves the protocol of the VM list: GET
// /v1/vms, with status 304 if the ETag in If-None-Match is current.
func (l *List) Handler() http.Handler {
	e := control.NewEcho(func() control.Network {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.faults.Network
	})
	e.GET("/v1/vms", func(c echo.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.calls++
		data, err := json.Marshal(platform.ListAnswer{VMs: l.listedVMs()})
		if err != nil {
			return err
		}
		etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
		c.Response().Header().Set("ETag", etag)
		if c.Request().Header.Get("If-None-Match") == etag {
			return c.NoContent(http.StatusNotModified)
		}
		return c.JSONBlob(http.StatusOK, data)
	})
	return e
}

// SetFaults implements control.Node. The data is a Faults object.
func (l *List) SetFaults(data json.RawMessage) error {
	var f Faults
	if err := json.Unmarshal(data, &f); err != nil {
		return eris.Wrap(err, "decode faults of the VM list")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	return nil
}

// Faults implements control.Node. It returns a Faults value.
func (l *List) Faults() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Observed implements control.Node. It returns an Observed value.
func (l *List) Observed() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Observed{VMs: l.actualVMs(), Calls: l.calls}
}
