package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// applyBound is how long after its acknowledgement a version must be in force on every VM.
const applyBound = 3 * time.Second

// keyDecoder decodes configurations that have one customer with the listed keys.
type keyDecoder struct{ soakDecoder }

func (keyDecoder) Config(_ string, value []byte) (*cell.Config, bool, error) {
	var w struct {
		Version int64
		Keys    []string
	}
	err := json.Unmarshal(value, &w)
	customers := &cell.Customers{List: []cell.Customer{{Name: "a"}}, Keys: map[cell.KeyHash]int{}}
	for _, key := range w.Keys {
		customers.Keys[cell.HashKey(key)] = 0
	}
	c := &cell.Config{Version: w.Version, Customers: customers}
	c.Index()
	return c, true, err
}

// keyCell is a cell of which the store may answer some VMs only.
type keyCell struct {
	store   *cellstore.Store
	nodes   []*Node
	stores  []*soakStore
	version int64
}

// publish writes the next version, with the given keys.
func (c *keyCell) publish(t *testing.T, keys ...string) {
	t.Helper()
	c.version++
	value, err := json.Marshal(map[string]any{"Version": c.version, "Keys": keys})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.store.Append(context.Background(), cell.Append{Topic: cell.TopicConfig, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: "config", Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
}

// start starts a VM. Small ones are no followers.
func (c *keyCell) start(t *testing.T, i int, isSmall bool) {
	t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 20+i))
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	cores := 0.8
	if isSmall {
		cores = 0.2
	}
	store := &soakStore{Store: c.store, rng: &lockedRand{rng: rand.New(rand.NewPCG(1, uint64(i)))}}
	n := New(Settings{
		Name: fmt.Sprintf("vm-%d", i), DataCentre: "dc", PeerAddr: addr, CPUCores: cores,
		LeaseLimit: 6 * time.Second, GangTimeout: 3 * time.Second, StatusRetention: time.Minute, RemoteFactor: 2,
	}, Ports{Store: store, Workers: &soakFleet{}, Advisor: soakAdvisor{}, Decoder: keyDecoder{}}, io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	c.nodes, c.stores = append(c.nodes, n), append(c.stores, store)
}

func acceptsKey(n *Node, key string) bool {
	config := n.Config()
	return config != nil && config.Customers.ByKey(cell.HashKey(key)) != nil
}

// awaitRevocation fails the test if a VM accepts a key later than applyBound from now.
func (c *keyCell) awaitRevocation(t *testing.T, key string) {
	t.Helper()
	publishedAt := time.Now()
	defer func() { t.Logf("%s is revoked everywhere after %v", key, time.Since(publishedAt)) }()
	for i, n := range c.nodes {
		for acceptsKey(n, key) {
			if time.Since(publishedAt) > applyBound {
				t.Fatalf("vm-%d accepts a revoked key %v after the version without it", i, applyBound)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// TestRevokedKeyIsRefusedOnCutVMs guards against VMs that serve revoked keys since the store does
// not answer them: they read the configuration through other VMs, whichever VMs are cut off and
// however, also the owner.
func TestRevokedKeyIsRefusedOnCutVMs(t *testing.T) {
	c := &keyCell{store: &cellstore.Store{}}
	c.publish(t, "k")
	for i := range 5 {
		c.start(t, i, i >= 3)
	}
	waitFor(t, "all VMs to be ready", func() bool {
		for _, n := range c.nodes {
			if !n.Ready() || n.responsiveOwner() == nil && n.activeLoop() == nil {
				return false
			}
		}
		return true
	})
	owner := 0
	for i, n := range c.nodes {
		if n.activeLoop() != nil {
			owner = i
		}
	}
	for _, cut := range [][]int{{owner}, {(owner + 1) % 3, 4}, {0, 1, 2, 3}} {
		for _, fault := range []cellstore.Fault{cellstore.Silent, cellstore.Refuse} {
			key := fmt.Sprintf("key-%v-%v", cut, fault)
			c.publish(t, key)
			waitFor(t, "the key", func() bool {
				return !slices.ContainsFunc(c.nodes, func(n *Node) bool { return !acceptsKey(n, key) })
			})
			for _, i := range cut {
				c.stores[i].faultMode.Store(int32(fault))
			}
			c.publish(t)
			c.awaitRevocation(t, key)
			for _, i := range cut {
				c.stores[i].faultMode.Store(int32(cellstore.None))
			}
		}
	}
}

// TestJobsAreNotAcceptedWithOldKeys guards against a job that is accepted for a revoked key by a VM
// that was paused, and against 503 for jobs that need no key.
func TestJobsAreNotAcceptedWithOldKeys(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := &cellstore.Store{}
	n := newFollower(t, store)
	go n.committer.run(ctx)
	submit := func(id cell.JobID, customer string) error {
		return n.Submit(ctx, &cell.Job{ID: id, Customer: customer, Steps: []cell.Step{{Count: 1}}})
	}
	n.configReader.lastSentAt.Store(int64(bootTime()))
	is.NoErr(submit("a", "customer"))
	n.configReader.lastSentAt.Store(int64(bootTime() - applyBound))
	var notExecuted *cell.NotExecutedError
	is.True(errors.As(submit("b", "customer"), &notExecuted))
	is.Equal(store.Len(cell.TopicJobs), int64(1))
	is.NoErr(submit("c", "")) // the configuration has no customers
	n.config.Store(&cell.Config{Customers: &cell.Customers{}})
	is.True(errors.As(submit("d", ""), &notExecuted)) // a customer without a name has keys too
	public := &cell.Job{ID: "e", Queue: cell.Queue{Public: true}, Steps: []cell.Step{{Count: 1}}}
	is.NoErr(n.Submit(ctx, public))
}

// TestVMIsNotReadyWithAnOldConfiguration guards against a VM that has just started, or that the
// store has ceased to answer, and that takes callers with keys of an older version than that in
// force.
func TestVMIsNotReadyWithAnOldConfiguration(t *testing.T) {
	is := is.New(t)
	store := &cellstore.Store{}
	c := &keyCell{store: store}
	c.publish(t, "k")
	n := newFollower(t, store)
	n.decoder = keyDecoder{}
	is.True(!n.Ready()) // it has no configuration
	is.NoErr(n.configReader.readToEnd(context.Background()))
	is.True(n.Ready())
	is.True(acceptsKey(n, "k"))
	n.configReader.lastReadAt.Store(int64(bootTime() - applyBound))
	is.True(!n.Ready())
	withCustomers := n.config.Swap(&cell.Config{Version: 1})
	is.True(n.Ready()) // without customers there are no keys
	n.config.Store(withCustomers)
	c.publish(t)
	is.NoErr(n.configReader.readToEnd(context.Background()))
	is.True(n.Ready())
	is.True(!acceptsKey(n, "k"))
}
