// Package badclient is a stand-in for clients that misbehave towards an entry VM: they send
// bodies that stop short or do not end, requests that are expensive to decode, and requests
// ahead of their answers; they send and read slowly; or they leave their connections open.
// Read Crowd first, then Behaviour.
package badclient

import (
	"net"
	"sync"
	"time"
)

const (
	// maxDials bounds the connections that a crowd opens at the same time, so that the
	// listener's backlog holds them.
	maxDials = 64
	// sendTimeout bounds what a client sends before it counts as arrived. A server that
	// does not read holds a client up for this time.
	sendTimeout = 5 * time.Second
)

// Client is one connection of a crowd.
type Client struct {
	net.Conn
	// Number is the position of the client in its crowd.
	Number int
	// stop is closed when the crowd leaves.
	stop <-chan struct{}
}

// Behaviour is what a client does with its connection until it counts as arrived. It may
// return a function for what the client does from then on; the connection stays open until
// the crowd leaves.
type Behaviour func(c *Client) (afterwards func())

// Crowd is a number of clients with one behaviour. Each opens one connection, to which it
// keeps until Leave; a connection that the server closes is not replaced.
type Crowd struct {
	stop    chan struct{}
	clients sync.WaitGroup
}

// Arrive opens a connection of each client, and returns the crowd once all have done what
// they do at first.
func Arrive(addr string, count int, behave Behaviour) *Crowd {
	c := &Crowd{stop: make(chan struct{})}
	dials := make(chan struct{}, maxDials)
	var arrivals sync.WaitGroup
	for number := range count {
		arrivals.Add(1)
		c.clients.Go(func() { c.run(addr, number, behave, dials, arrivals.Done) })
	}
	arrivals.Wait()
	return c
}

// run is the life of one client.
func (c *Crowd) run(addr string, number int, behave Behaviour, dials chan struct{}, arrived func()) {
	dials <- struct{}{}
	conn, err := net.DialTimeout("tcp", addr, sendTimeout)
	<-dials
	if err != nil {
		arrived()
		return
	}
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	afterwards := behave(&Client{Conn: conn, Number: number, stop: c.stop})
	_ = conn.SetWriteDeadline(time.Time{})
	arrived()
	if afterwards != nil {
		afterwards()
	}
	<-c.stop
}

// Leave closes all connections.
func (c *Crowd) Leave() {
	close(c.stop)
	c.clients.Wait()
}
