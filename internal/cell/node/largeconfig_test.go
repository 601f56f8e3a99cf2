package node

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/platform"
	"gypsumwinch/standin/cellstore"
	"gypsumwinch/standin/simnet"
	"gypsumwinch/standin/storeserver"
)

const (
	// simulatedRouteBytes is the size of a route in a configuration.
	simulatedRouteBytes = 192
	// configApplyBound is when a configuration must be in force.
	configApplyBound = 3 * time.Second
	// drainBound is when the owner must know that a worker leaves.
	drainBound = 3 * time.Second
	// configTopic and workersTopic are the store's names of two topics.
	configTopic  cell.Topic = "keyed.op"
	workersTopic cell.Topic = "keyed.servers"
)

// simulatedCell is a cell whose VMs read the configuration over simulated links.
type simulatedCell struct {
	store *cellstore.Store
	vms   []*simulatedVM
	// storeReads counts the bytes that the store has read for all VMs.
	storeReads *simnet.Link
}

// simulatedVM is the part of a VM that reads the store.
type simulatedVM struct {
	host    *simnet.Host
	router  *storeRouter
	applied chan int
	config  *topicReader
	shared  sharedConfig
}

// sharingPeer is a store proxy that shares the configuration that it has read.
type sharingPeer struct {
	proxyPeer
	shared *sharedConfig
}

func (p *sharingPeer) Read(ctx context.Context, req *cellpb.ReadRequest) (*cellpb.BatchResponse, error) {
	return readForPeer(ctx, p.shared, p.router, req), nil
}

// runCell runs a cell of large VMs with 200 Mbit/s, the first of which is the owner, and small ones
// until test returns.
func runCell(t *testing.T, large, small int, smallMegabits, storeMegabits float64, test func(context.Context, *simulatedCell)) {
	ctx, cancel := context.WithCancel(t.Context())
	net := simnet.Network{}
	begin := time.Now().Add(-time.Hour)
	storeHost := net.Add("store:80", 4000)
	c := &simulatedCell{store: &cellstore.Store{}}
	var stop func()
	c.storeReads, stop = simnet.ServeSharedReads(storeHost, storeserver.New(c.store, nil).Handler("vm"), storeMegabits)
	stops := []func(){cancel, stop}
	defer func() {
		for _, stop := range stops {
			stop()
		}
		time.Sleep(10 * time.Minute) // for calls in flight
	}()
	for i := range large + small {
		megabits := 200.0
		if i >= large {
			megabits = smallMegabits
		}
		c.vms = append(c.vms, &simulatedVM{host: net.Add(fmt.Sprintf("vm%d:80", i), megabits), applied: make(chan int, 100)})
	}
	for i, vm := range c.vms {
		stops = append(stops, vm.connect(net, storeHost, begin, func() []string {
			var addrs []string
			for k := range 4 {
				addrs = append(addrs, c.vms[1+(i+k)%(large-1)].host.Address)
			}
			return addrs
		}))
		go func() {
			sleep(ctx, time.Duration(i)*17*time.Millisecond)
			vm.config.poll(ctx, func() time.Duration { return 0 }, func() time.Duration { return configReadInterval })
		}()
	}
	test(ctx, c)
}

// connect creates the clients and the server of a VM. proxies returns the addresses of its store
// proxies.
func (vm *simulatedVM) connect(net simnet.Network, storeHost *simnet.Host, begin time.Time, proxies func() []string) (stop func()) {
	direct := platform.NewStoreWithDialer(func() string { return storeHost.Address }, net.DialFrom(vm.host))
	client := newPeerHTTPClientWithDialer(net.DialFrom(vm.host))
	vm.router = newRouter(direct)
	vm.router.now = func() time.Duration { return time.Since(begin) }
	vm.router.proxies = func() (out []cellpb.Cell) {
		for _, addr := range proxies() {
			out = append(out, cellpb.NewCellProtobufClient("http://"+addr, client))
		}
		return out
	}
	vm.config = readerOf(vm.router, cell.TopicConfig, func(records []cell.KeyValue) {
		for _, r := range records {
			vm.shared.record.Store(&r)
			vm.applied <- len(r.Value)
		}
	})
	vm.shared.reader = vm.config
	server := &http.Server{Handler: cellpb.NewCellServer(&sharingPeer{proxyPeer{router: vm.router}, &vm.shared})}
	go server.Serve(vm.host)
	return func() {
		server.Close()
		direct.CloseIdleConnections()
		client.CloseIdleConnections()
	}
}

func readerOf(router *storeRouter, topic cell.Topic, apply func([]cell.KeyValue)) *topicReader {
	return &topicReader{store: router, now: router.now, topic: topic, apply: apply, wakeup: make(chan struct{}, 1), metrics: newMetrics(func() float64 { return 0 }), log: func(string, ...any) {}}
}

// writeConfig appends a configuration of so many routes.
func (c *simulatedCell) writeConfig(t *testing.T, routes int) {
	is := is.New(t)
	is.NoErr(c.store.Write(configTopic, cell.KeyValue{Key: "op/config", Value: bytes.Repeat([]byte{'x'}, routes*simulatedRouteBytes)}))
}

// lateVMs returns how many VMs have not read a configuration of so many routes by now.
func (c *simulatedCell) lateVMs(routes int) (late int) {
	for _, vm := range c.vms {
		newest := 0
		for len(vm.applied) > 0 {
			newest = <-vm.applied
		}
		if newest != routes*simulatedRouteBytes {
			late++
		}
	}
	return late
}

// TestLargeConfigurationIsReadInTimeOverNarrowLinks guards against VMs that never read a configuration, since the read is cut off while it moves, and whose retries and hedges take the store's bandwidth from all.
func TestLargeConfigurationIsReadInTimeOverNarrowLinks(t *testing.T) {
	for _, routes := range []int{1445, 2845, 4245, 8445} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				runCell(t, 10, 31, 10, 640, func(ctx context.Context, c *simulatedCell) {
					var longest atomic.Int64
					lastWorkersRead := time.Now()
					workers := readerOf(c.vms[0].router, cell.TopicWorkers, func([]cell.KeyValue) {})
					go func() {
						for ctx.Err() == nil {
							if _, err := workers.read(ctx, 0); err == nil {
								longest.Store(max(longest.Load(), int64(time.Since(lastWorkersRead))))
								lastWorkersRead = time.Now()
							}
							sleep(ctx, workerListInterval)
						}
					}()
					c.writeConfig(t, 45)
					time.Sleep(configApplyBound)
					is.Equal(c.lateVMs(45), 0)
					for range 4 {
						before := c.storeReads.Carried()
						c.writeConfig(t, routes)
						time.Sleep(configApplyBound)
						is.Equal(c.lateVMs(routes), 0)
						read := c.storeReads.Carried() - before
						is.True(read <= int64(len(c.vms)*(routes*simulatedRouteBytes+10_000))) // once for each VM
					}
					is.True(time.Duration(longest.Load()) < drainBound) // the owner's reads of workers' entries
				})
			})
		})
	}
}

// TestBusyStoreIsNotAskedAgainForAConfigurationThatVMsHave guards against a store that never catches up with its reads, since VMs that it keeps waiting repeat reads of a record that takes all its bandwidth for 2 s.
func TestBusyStoreIsNotAskedAgainForAConfigurationThatVMsHave(t *testing.T) {
	const routes, applyBound = 8445, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runCell(t, 25, 72, 20, 640, func(_ context.Context, c *simulatedCell) {
			c.writeConfig(t, 45)
			time.Sleep(applyBound)
			for range 3 {
				before := c.storeReads.Carried()
				c.writeConfig(t, routes)
				time.Sleep(applyBound)
				is.Equal(c.lateVMs(routes), 0)
				is.True(c.storeReads.Carried()-before < int64(len(c.vms)*routes*simulatedRouteBytes*5/4))
			}
		})
	})
}
