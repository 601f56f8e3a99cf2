// Package backendserver is a stand-in for a backend server: an HTTP server that runs
// each request as a timer in one of its slots and records the runs and the number of
// connections. It computes nothing; its answers are those of control.Answer. Read
// Server first.
package backendserver

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/backend"
	"gypsumwinch/standin/control"
)

// Faults are the faults that a backend server injects, as set on the control endpoint.
type Faults struct {
	control.Network
	// Leaving makes GET /status and each answer report that the server is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// RefuseLeaving refuses new requests while Leaving is set.
	RefuseLeaving bool `json:"refuse_leaving,omitempty"`
	// DelayAnswerMS is the delay in milliseconds between the end of a run and its
	// answer. The slot is free during it.
	DelayAnswerMS int `json:"delay_answer_ms,omitempty"`
	// DropHalf is the number of later answers whose connection is closed after half of
	// the body. -1 means all; this also applies to WrongEcho and Corrupt.
	DropHalf int `json:"drop_half,omitempty"`
	// WrongEcho is the number of later answers that carry another request id.
	WrongEcho int `json:"wrong_echo,omitempty"`
	// Corrupt is the number of later answers of which a byte is changed after the digest
	// was computed.
	Corrupt int `json:"corrupt,omitempty"`
	// RunOn keeps a request running in its slot after its client has closed the
	// connection. Without it the request stops then.
	RunOn bool `json:"run_on,omitempty"`
	// FailAll answers each request with status 500 after its run.
	FailAll bool `json:"fail_all,omitempty"`
}

// Run is the record of one run of a request, with the values of its headers.
type Run struct {
	ID      string    `json:"id"`
	Attempt int       `json:"attempt"`
	Class   string    `json:"class"`
	Client  string    `json:"client"`
	Start   time.Time `json:"start"`
	// End is zero while the request runs.
	End time.Time `json:"end,omitzero"`
	// CutOff is true if the client closed the connection before the end of the run.
	CutOff bool `json:"cut_off,omitempty"`
	// AfterLeavingMS is the time in milliseconds from when the server began to leave
	// until the run began. It is -1 if the server had not begun to leave.
	AfterLeavingMS int64 `json:"after_leaving_ms"`
}

// Observed is what a backend server reports on the control endpoint. Refused counts
// the requests that got no slot. Runs is in order of the start.
type Observed struct {
	Slots          int   `json:"slots"`
	InFlight       int   `json:"in_flight"`
	MaxInFlight    int   `json:"max_in_flight"`
	Connections    int   `json:"connections"`
	MaxConnections int   `json:"max_connections"`
	Refused        int   `json:"refused"`
	Runs           []Run `json:"runs"`
}

// Server is the stand-in for a backend server. It is safe for concurrent use.
type Server struct {
	slots int

	mu           sync.Mutex
	faults       Faults
	leavingSince time.Time
	observed     Observed
	connections  map[net.Conn]struct{}
}

var _ control.Node = (*Server)(nil)

// New returns a backend server with the given number of slots and no faults.
func New(slots int) *Server {
	return &Server{slots: slots, observed: Observed{Slots: slots}, connections: make(map[net.Conn]struct{})}
}

// ConnState counts the open connections. It is meant for http.Server.ConnState, which
// calls it at each change of state of a connection.
func (s *Server) ConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, conn)
	}
	s.observed.Connections = len(s.connections)
	s.observed.MaxConnections = max(s.observed.MaxConnections, len(s.connections))
}

// Handler implements control.Node. It serves the protocol of backend servers.
func (s *Server) Handler() http.Handler {
	e := control.NewEcho(func() control.Network {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.faults.Network
	})
	e.POST("/run", s.handleRun)
	e.GET("/status", s.handleStatus)
	return e
}

// SetFaults implements control.Node. The data is a Faults object. If it newly sets
// Leaving, AfterLeavingMS counts from now on.
func (s *Server) SetFaults(data json.RawMessage) error {
	var f Faults
	if err := json.Unmarshal(data, &f); err != nil {
		return eris.Wrap(err, "decode faults of a backend server")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Leaving && !s.faults.Leaving {
		s.leavingSince = time.Now()
	}
	s.faults = f
	return nil
}

// MarkLeaving makes AfterLeavingMS count from now on, but does not report to clients
// that the server is leaving. It is for a server that only the VM list shows as leaving.
func (s *Server) MarkLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingSince = time.Now()
}

// Faults implements control.Node. It returns a Faults value, in which the numbers of
// faulty answers are those still to come.
func (s *Server) Faults() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Observed implements control.Node. It returns an Observed value.
func (s *Server) Observed() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.observed
	o.Runs = append([]Run(nil), s.observed.Runs...)
	return o
}

// handleStatus serves GET /status: slots, connections and whether the server is
// leaving.
func (s *Server) handleStatus(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, backend.Status{
		Slots: s.slots, InUse: s.observed.InFlight,
		Connections: len(s.connections), Leaving: s.faults.Leaving,
	})
}

// startRun takes a slot, records the run and returns its index in Observed.Runs. It
// returns -1 if no slot is free or the RefuseLeaving fault applies. handleRun calls it.
func (s *Server) startRun(run Run) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.observed.InFlight >= s.slots || s.faults.Leaving && s.faults.RefuseLeaving {
		s.observed.Refused++
		return -1
	}
	run.Start = time.Now()
	run.AfterLeavingMS = -1
	if !s.leavingSince.IsZero() {
		run.AfterLeavingMS = time.Since(s.leavingSince).Milliseconds()
	}
	s.observed.InFlight++
	s.observed.MaxInFlight = max(s.observed.MaxInFlight, s.observed.InFlight)
	s.observed.Runs = append(s.observed.Runs, run)
	return len(s.observed.Runs) - 1
}

// finishRun frees the slot of a run and returns the faults for its answer, which it
// counts as injected. handleRun calls it.
func (s *Server) finishRun(index int, cutOff bool) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed.InFlight--
	s.observed.Runs[index].End = time.Now()
	s.observed.Runs[index].CutOff = cutOff
	faults := s.faults
	for _, n := range []*int{&s.faults.DropHalf, &s.faults.WrongEcho, &s.faults.Corrupt} {
		if *n > 0 {
			*n--
		}
	}
	return faults
}

// handleRun serves POST /run: it runs a request in a slot and sends the answer, with
// the faults that apply. A request that gets no slot is answered with status 503 and
// backend.HeaderNotStarted.
func (s *Server) handleRun(c echo.Context) error {
	req := c.Request()
	payload, err := io.ReadAll(req.Body)
	if err != nil {
		return eris.Wrap(err, "read payload")
	}
	attempt, err := strconv.Atoi(req.Header.Get(backend.HeaderAttempt))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "attempt header is not an integer")
	}
	id := req.Header.Get(backend.HeaderRequestID)
	header := c.Response().Header()
	header.Set(backend.HeaderRequestID, id)
	header.Set(backend.HeaderAttempt, strconv.Itoa(attempt))
	index := s.startRun(Run{ID: id, Attempt: attempt, Class: req.Header.Get(backend.HeaderClass), Client: req.Header.Get("X-Client")})
	if s.isLeaving() {
		header.Set(backend.HeaderLeaving, "true")
	}
	if index < 0 {
		header.Set(backend.HeaderNotStarted, "true")
		return c.String(http.StatusServiceUnavailable, "not started\n")
	}
	instructions := control.ParsePayload(payload)
	connected := s.waitRunTime(req, instructions.RunTime())
	faults := s.finishRun(index, !connected)
	if !connected || faults.Down || !control.Sleep(req, time.Duration(faults.DelayAnswerMS)*time.Millisecond) {
		control.Abort()
	}
	if instructions.Fail || faults.FailAll {
		return c.String(http.StatusInternalServerError, "failed\n")
	}
	return writeAnswer(c, id, control.Answer(payload), faults)
}

// waitRunTime waits for the run time of a request and reports whether its client kept
// the connection open. If not, it returns at once unless RunOn is set. handleRun calls
// it.
func (s *Server) waitRunTime(req *http.Request, d time.Duration) bool {
	start := time.Now()
	connected := control.Sleep(req, d)
	s.mu.Lock()
	runOn := s.faults.RunOn
	s.mu.Unlock()
	if !connected && runOn {
		time.Sleep(d - time.Since(start))
	}
	return connected
}

// isLeaving reports whether the Leaving fault is set. handleRun calls it.
func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Leaving
}

// writeAnswer sends the answer to a completed run and injects WrongEcho, Corrupt and
// DropHalf. handleRun calls it.
func writeAnswer(c echo.Context, id string, body []byte, faults Faults) error {
	header := c.Response().Header()
	header.Set(backend.HeaderDigest, backend.Digest(body))
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	if faults.WrongEcho != 0 {
		header.Set(backend.HeaderRequestID, "not-"+id)
	}
	if faults.Corrupt != 0 && len(body) > 0 {
		body[len(body)/2] ^= 1
	}
	if faults.DropHalf != 0 && len(body) > 0 {
		if err := c.Blob(http.StatusOK, echo.MIMEOctetStream, body[:len(body)/2]); err != nil {
			return err
		}
		c.Response().Flush()
		control.Abort()
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}
