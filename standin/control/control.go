// Package control holds what all stand-ins share: network faults, the interface
// through which tests set faults and read observations, and the payloads that
// determine run times and answers. The HTTP control endpoint itself is in package
// standin. Read Node first.
package control

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"gypsumwinch/internal/httpjson"
)

// Node is one stand-in of a cell. Its methods are safe for concurrent use.
type Node interface {
	// Handler serves the stand-in's own protocol.
	Handler() http.Handler
	// SetFaults replaces all faults by those in a JSON object; absent fields mean no
	// fault. It returns an error, and changes nothing, if data can't be decoded.
	SetFaults(data json.RawMessage) error
	// Faults returns the faults in force.
	Faults() any
	// Observed returns the state and the counts of the stand-in, to be encoded as
	// JSON.
	Observed() any
}

// Network holds the faults of the network between a stand-in and its clients.
type Network struct {
	// Down aborts every connection.
	Down bool `json:"down,omitempty"`
	// Silent accepts requests and never answers them.
	Silent bool `json:"silent,omitempty"`
	// SlowMS is the delay in milliseconds before each request is handled.
	SlowMS int `json:"slow_ms,omitempty"`
	// Cut lists clients (by httpjson.HeaderClient) whose connections abort.
	Cut []string `json:"cut,omitempty"`
}

// Refuses reports whether connections of the client are aborted.
func (n Network) Refuses(client string) bool {
	return n.Down || slices.Contains(n.Cut, client)
}

// Middleware applies network faults to each request before it is handled.
// currentFaults is called once per request, on the request's goroutine.
func Middleware(currentFaults func() Network) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			faults := currentFaults()
			req := c.Request()
			if faults.Refuses(req.Header.Get(httpjson.HeaderClient)) {
				Abort()
			}
			if faults.Silent {
				<-req.Context().Done()
				Abort()
			}
			if !Sleep(req, time.Duration(faults.SlowMS)*time.Millisecond) {
				Abort()
			}
			return next(c)
		}
	}
}

// Abort closes the connection of the current request without an answer. It panics
// with http.ErrAbortHandler and must be called on the request's goroutine.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Sleep waits for d and returns true, or returns false as soon as the client closes
// the connection of req.
func Sleep(req *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-req.Context().Done():
		return false
	}
}

// NewEcho returns an HTTP router for a stand-in's protocol, to which the stand-in
// adds its routes. It applies the network faults that currentFaults returns.
func NewEcho(currentFaults func() Network) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Use(Middleware(currentFaults))
	return e
}
