package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/structs"
)

// Addresses is the answer to GET /cell: the addresses (host:port) of the stand-ins for
// the platform and of the control endpoint, and the workers and backend servers.
type Addresses struct {
	Log     string       `json:"log" yaml:"log"`
	VMList  string       `json:"vm_list" yaml:"vm_list"`
	Control string       `json:"control" yaml:"control"`
	VMs     []structs.VM `json:"vms" yaml:"-"`
}

// Addresses returns the addresses on which the stand-ins listen.
func (c *Cell) Addresses() Addresses {
	return Addresses{Log: c.LogAddr, VMList: c.VMListAddr, Control: c.ControlAddr, VMs: c.VMs}
}

// SetFaults replaces the faults of a node, given as a JSON object. The node is a VM id,
// NodeLog or NodeVMList.
func (c *Cell) SetFaults(node string, data json.RawMessage) error {
	n := c.nodes[node]
	if n == nil {
		return eris.Errorf("unknown stand-in %q", node)
	}
	return n.SetFaults(data)
}

// controlHandler serves the control endpoint of the cell:
//
//	GET /cell                     addresses and VMs
//	GET /nodes/{node}/observed    the observations of a node
//	GET, PUT /nodes/{node}/faults the faults of a node
//	PUT /vms, DELETE /vms/{id}    changes of the VM list
//	GET /streams/{stream}         the retained entries of a stream of the log
//
// It listens on a port of its own, so that it is not subject to faults and its
// connections are not counted.
func (c *Cell) controlHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/cell", func(ctx echo.Context) error {
		return ctx.JSON(http.StatusOK, c.Addresses())
	})
	e.GET("/nodes/:node/observed", func(ctx echo.Context) error {
		n := c.nodes[ctx.Param("node")]
		if n == nil {
			return echo.ErrNotFound
		}
		return ctx.JSON(http.StatusOK, n.Observed())
	})
	e.GET("/nodes/:node/faults", func(ctx echo.Context) error {
		n := c.nodes[ctx.Param("node")]
		if n == nil {
			return echo.ErrNotFound
		}
		return ctx.JSON(http.StatusOK, n.Faults())
	})
	e.PUT("/nodes/:node/faults", func(ctx echo.Context) error {
		data, err := io.ReadAll(ctx.Request().Body)
		if err != nil {
			return err
		}
		if err := c.SetFaults(ctx.Param("node"), data); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return ctx.NoContent(http.StatusNoContent)
	})
	e.PUT("/vms", c.handlePutVM)
	e.DELETE("/vms/:id", func(ctx echo.Context) error {
		c.VMList.Remove(ctx.Param("id"))
		return ctx.NoContent(http.StatusNoContent)
	})
	e.GET("/streams/:stream", func(ctx echo.Context) error {
		return ctx.JSON(http.StatusOK, c.Log.Entries(ctx.Param("stream")))
	})
	return e
}

// handlePutVM serves PUT /vms. If the VM is a backend server that leaves, it marks the
// server as leaving, too.
func (c *Cell) handlePutVM(ctx echo.Context) error {
	var vm structs.VM
	if err := ctx.Bind(&vm); err != nil {
		return err
	}
	c.VMList.Put(vm)
	if server := c.Servers[vm.ID]; server != nil && vm.State == structs.VMLeaving {
		server.MarkLeaving()
	}
	return ctx.NoContent(http.StatusNoContent)
}
