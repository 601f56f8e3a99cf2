//go:build clients

package clients

import (
	"testing"
	"time"

	"gypsumwinch/standin/badclient"
	"gypsumwinch/standin/storeserver"
)

// Sizes of the crowds.
const (
	// largeBodies is the number of clients with bodies of legal size, as on the page of the
	// work: 600 of them took a process to 245 MB.
	largeBodies = 600
	// costlyBodies is that of clients with bodies that are expensive to decode, as there: 100
	// took a process to 1,756 MB.
	costlyBodies = 100
	// oversizedBodies is the number of clients whose bodies are far over the limit.
	oversizedBodies = 100
	// manyConnections is above the descriptors of the smallest VM.
	manyConnections = maxFDs + 225
	// pipelines is the number of clients that send requestsAhead requests without reading.
	pipelines     = 100
	requestsAhead = 5000
)

var (
	route   = badclient.Target{Host: host, Path: prefix + "5c0e7a21d94b36f8"}
	nowhere = badclient.Target{Host: host, Path: "/nowhere/5c0e7a21d94b36f8"}
	probe   = badclient.Target{Host: host, Path: storeserver.ReadinessPath}
)

// withstand has a crowd arrive at a VM, and checks that the process lives within its limits
// and serves one ordinary job after the crowd's arrival and one while it stays.
func withstand(t *testing.T, addr func(*vm) string, count int, behave badclient.Behaviour) {
	t.Helper()
	v := startVM(t)
	crowd := badclient.Arrive(addr(v), count, behave)
	v.serveOrdinary("after the crowd's arrival")
	time.Sleep(stay)
	v.serveOrdinary("while the crowd stays")
	v.check()
	crowd.Leave()
}

func callers(v *vm) string   { return v.callers }
func readiness(v *vm) string { return v.readiness }

// listeners are the places to which clients send, by name.
var listeners = []struct {
	name   string
	addr   func(*vm) string
	target badclient.Target
}{{"route", callers, route}, {"no_route", callers, nowhere}, {"readiness", readiness, probe}}

var framings = []struct {
	name    string
	framing badclient.Framing
}{{"one_piece", badclient.OnePiece}, {"small_pieces", badclient.SmallPieces}, {"chunked", badclient.Chunked}}

// TestBodiesThatStopShort guards the memory of a VM against bodies of legal size that are
// held without their ends.
func TestBodiesThatStopShort(t *testing.T) {
	for _, l := range listeners {
		for _, f := range framings {
			t.Run(l.name+"/"+f.name, func(t *testing.T) {
				withstand(t, l.addr, largeBodies, badclient.StopShort(l.target, f.framing))
			})
		}
	}
}

// TestBodiesOverTheLimit guards against bodies that are read far beyond the limit.
func TestBodiesOverTheLimit(t *testing.T) {
	for _, l := range listeners {
		for _, f := range []badclient.Framing{badclient.OnePiece, badclient.Chunked} {
			t.Run(l.name+"/"+framings[f].name, func(t *testing.T) {
				withstand(t, l.addr, oversizedBodies, badclient.Oversized(l.target, f))
			})
		}
	}
}

// TestCostlyBodies guards the memory of a VM against bodies of legal size whose decoding
// takes a multiple of their length.
func TestCostlyBodies(t *testing.T) {
	for name, body := range badclient.Costly() {
		t.Run(name, func(t *testing.T) {
			withstand(t, callers, costlyBodies, badclient.Whole(route, body))
		})
	}
}

// TestRequestsAhead guards against clients that send requests ahead and read no answer.
func TestRequestsAhead(t *testing.T) {
	for _, l := range listeners {
		t.Run(l.name, func(t *testing.T) { withstand(t, l.addr, pipelines, badclient.Ahead(l.target, requestsAhead)) })
	}
}

// TestManyConnections guards the descriptors of a VM against clients that open connections
// and leave them, stop half-way, send or read one byte at a time, or do any of these.
func TestManyConnections(t *testing.T) {
	behaviours := []struct {
		name   string
		behave badclient.Behaviour
	}{
		{"silent", badclient.Silent()},
		{"half_header", badclient.HalfHeader(route)},
		{"half_body", badclient.HalfBody(route)},
		{"slow_header", badclient.SlowHeader(route)},
		{"slow_body", badclient.SlowBody(route)},
		{"slow_reader", badclient.SlowReader(route, 10)},
		{"mix", badclient.Mixed(badclient.Silent(), badclient.HalfBody(nowhere), badclient.SlowBody(route), badclient.SlowReader(nowhere, 100),
			badclient.StopShort(route, badclient.OnePiece), badclient.HalfHeader(route), badclient.Whole(route, badclient.Costly()["empty steps"]))},
	}
	for _, b := range behaviours {
		t.Run(b.name, func(t *testing.T) { withstand(t, callers, manyConnections, b.behave) })
	}
	t.Run("readiness", func(t *testing.T) { withstand(t, readiness, manyConnections, badclient.Silent()) })
}
