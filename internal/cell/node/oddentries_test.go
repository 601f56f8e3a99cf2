package node

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/owner"
	"gypsumwinch/standin/cellstore"
)

// The tests of this file guard against odd entries of other writers among those of the workers
// (issue 28): they name no worker to use, and the other entries hold.

// oddDecoder refuses entries that contain "odd" and panics at those that contain "panic".
type oddDecoder struct{ soakDecoder }

func (d oddDecoder) Worker(key string, value []byte) (cell.Worker, error) {
	switch {
	case strings.Contains(string(value), "odd"):
		return cell.Worker{}, errors.New("odd entry")
	case strings.Contains(string(value), "panic"):
		panic("odd entry")
	}
	return d.soakDecoder.Worker(key, value)
}

// entries is a tracker of the entries in a store.
type entries struct {
	t       *testing.T
	store   *cellstore.Store
	node    *Node
	tracker *workerTracker
}

func newEntries(t *testing.T) *entries {
	t.Helper()
	e := &entries{t: t, store: &cellstore.Store{}}
	e.node = New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: e.store, Decoder: oddDecoder{}}, io.Discard)
	e.tracker = newWorkerTracker(context.Background(), e.node, newControlLoop(e.node, 1))
	return e
}

// write writes an entry; an empty one deletes the key.
func (e *entries) write(key, value string) {
	e.t.Helper()
	_, err := e.store.Append(context.Background(), cell.Append{Topic: cell.TopicWorkers, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: key, Value: []byte(value)}}})
	if err != nil {
		e.t.Fatal(err)
	}
}

// configure puts a configuration with one service into force.
func (e *entries) configure(version int64, service string) {
	c := &cell.Config{Version: version, Guarded: map[string]bool{service: false}, Queues: []cell.Queue{{Name: "q", Service: service}}}
	c.Index()
	e.node.config.Store(c)
	e.tracker.postConfig(context.Background())
}

// read reads to the end of the topic and returns the ids and addresses of the workers that
// were listed and the ids that were removed, in the order of the events.
func (e *entries) read() (listed, removed []string) {
	e.t.Helper()
	if err := e.tracker.reader.readToEnd(context.Background()); err != nil {
		e.t.Fatal(err)
	}
	for {
		select {
		case ev := <-e.tracker.loop.events:
			if l, ok := ev.(owner.WorkersListed); ok {
				for _, w := range l.Workers {
					listed = append(listed, w.ID+"@"+w.Addr)
				}
				removed = append(removed, l.Removed...)
			}
		default:
			return listed, removed
		}
	}
}

// TestReaderGoesOnAfterOddEntries guards against a reader that stops at an entry that cannot
// be decoded, or whose decoder panics: workers that are listed after it would never be used.
func TestReaderGoesOnAfterOddEntries(t *testing.T) {
	is := is.New(t)
	e := newEntries(t)
	e.write("a", `{"ID":"a","Service":"s","Addr":"10.0.0.1:1"}`)
	e.write("x", "odd")
	e.write("y", "panic")
	e.write("", "odd")
	e.write("b", `{"ID":"b","Service":"s","Addr":"10.0.0.2:1"}`)
	listed, _ := e.read()
	is.Equal(listed, []string{"a@10.0.0.1:1", "b@10.0.0.2:1"})
	e.write("y", "panic")
	e.write("x", "odd")
	e.write("c", `{"ID":"c","Service":"s","Addr":"10.0.0.3:1"}`)
	listed, _ = e.read()
	is.Equal(listed, []string{"c@10.0.0.3:1"})
	is.Equal(len(e.tracker.workers), 3)
}

// TestOddEntryOfAKnownWorkerEndsItsUse guards against starts on a worker whose newest entry is
// odd. The worker is used again once its own entry follows, also if that has not changed.
func TestOddEntryOfAKnownWorkerEndsItsUse(t *testing.T) {
	is := is.New(t)
	e := newEntries(t)
	const good = `{"ID":"a","Service":"s","Addr":"10.0.0.1:1"}`
	e.write("a", good)
	e.read()
	e.write("a", "odd")
	listed, removed := e.read()
	is.Equal(len(listed), 0)
	is.Equal(removed, []string{"a"})
	e.write("a", good)
	listed, _ = e.read()
	is.Equal(listed, []string{"a@10.0.0.1:1"})
}

// TestEntryOfAnUnnamedServiceNamesNoWorker guards against entries of a service that the
// configuration does not name. Under the id of a worker such an entry replaced the address: the
// leases of its runs were not renewed and the runs of cancelled jobs not stopped there. The
// entry counts once a configuration names its service.
func TestEntryOfAnUnnamedServiceNamesNoWorker(t *testing.T) {
	is := is.New(t)
	e := newEntries(t)
	e.configure(1, "s")
	e.write("a", `{"ID":"a","Service":"s","Addr":"10.0.0.1:1"}`)
	e.read()
	e.write("a", `{"ID":"a","Service":"other","Addr":"10.9.9.9:1"}`)
	e.write("b", `{"ID":"b","Service":"other","Addr":"10.0.0.2:1"}`)
	e.write("c", `{"ID":"c","Service":"other","Addr":"10.0.0.3:1"}`)
	listed, removed := e.read()
	is.Equal(len(listed), 0)
	is.Equal(removed, []string{"a", "b", "c"})
	e.write("a", `{"ID":"a","Service":"s","Addr":"10.0.0.1:1"}`)
	listed, _ = e.read()
	is.Equal(listed, []string{"a@10.0.0.1:1"})
	e.write("c", "")
	e.read()
	e.configure(2, "other")
	listed, removed = e.read()
	is.Equal(listed, []string{"b@10.0.0.2:1"})
	is.Equal(len(removed), 0) // a serves no queue; its runs go on
}

// TestEntryStaysAsideUntilItsServiceIsNamed guards against an entry of another writer that becomes a
// worker with the next configuration, whatever that names.
func TestEntryStaysAsideUntilItsServiceIsNamed(t *testing.T) {
	is := is.New(t)
	e := newEntries(t)
	e.configure(1, "s")
	e.write("a", `{"ID":"a","Service":"third","Addr":"10.0.0.1:1"}`)
	e.read()
	e.configure(2, "s")
	listed, _ := e.read()
	is.Equal(len(listed), 0)
	e.write("a", "")
	e.configure(3, "third")
	listed, removed := e.read()
	is.Equal(listed, []string{"a@10.0.0.1:1"}) // its deletion is read after the configuration
	is.Equal(removed, []string{"a"})
}

// TestEntryThatDisappearsWhileItIsSetAside guards against a worker that left long ago, and is used since
// the record of the deletion of its entry had expired when a configuration named its service.
func TestEntryThatDisappearsWhileItIsSetAside(t *testing.T) {
	is := is.New(t)
	e := newEntries(t)
	e.configure(1, "s")
	e.write("a", `{"ID":"a","Service":"third","Addr":"10.0.0.1:1"}`)
	e.read()
	e.write("a", "")
	e.tracker.reader.isLoaded.Store(false) // the newest records are loaded: a is not among them
	e.read()
	e.configure(2, "third")
	listed, _ := e.read()
	is.Equal(len(listed), 0)
}

// unreadableNewest is a store whose newest records but the first cannot be read.
type unreadableNewest struct{ cell.Store }

func (s unreadableNewest) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	batch, err := s.Store.Newest(ctx, topic)
	batch.Unreadable = len(batch.Records) - 1
	batch.Records = batch.Records[:1]
	return batch, err
}

// TestUnreadableItemIsNoDeletion guards against workers that are removed since an item of the newest
// records, which may be theirs, cannot be read.
func TestUnreadableItemIsNoDeletion(t *testing.T) {
	is := is.New(t)
	e := newEntries(t)
	e.write("a", `{"ID":"a","Service":"s","Addr":"10.0.0.1:1"}`)
	e.write("b", `{"ID":"b","Service":"s","Addr":"10.0.0.2:1"}`)
	e.read()
	e.tracker.reader.store = unreadableNewest{e.store}
	e.tracker.reader.isLoaded.Store(false)
	_, removed := e.read()
	is.Equal(len(removed), 0)
	is.Equal(len(e.tracker.workers), 2)
}

// TestWorkersOfADroppedServiceServeAcceptedJobs guards against jobs that are accepted and never
// run: their configuration named the service, and a later one dropped it with the last route.
func TestWorkersOfADroppedServiceServeAcceptedJobs(t *testing.T) {
	is := is.New(t)
	e := newEntries(t)
	e.configure(1, "s")
	e.write("a", `{"ID":"a","Service":"s","Addr":"10.0.0.1:1"}`)
	e.read()
	e.configure(2, "other")
	e.write("a", `{"ID":"a","Service":"s","Addr":"10.0.0.1:1","Draining":true}`)
	e.write("b", `{"ID":"b","Service":"s","Addr":"10.0.0.2:1"}`)
	e.write("c", `{"ID":"c","Service":"third","Addr":"10.0.0.3:1"}`)
	listed, removed := e.read()
	is.Equal(listed, []string{"a@10.0.0.1:1", "b@10.0.0.2:1"})
	is.Equal(removed, []string{"c"})
}

// TestWorkersOfADroppedServiceServeTakenOverJobs guards against the same after a change of the
// owner: the new one has never seen the configuration that named the service.
func TestWorkersOfADroppedServiceServeTakenOverJobs(t *testing.T) {
	is := is.New(t)
	e := newEntries(t)
	value, err := cell.EncodeJob(&cell.Job{ID: "j", Queue: cell.Queue{Name: "q", Service: "s"}, Steps: []cell.Step{{Count: 1}}})
	is.NoErr(err)
	e.node.applyJobRecords([]cell.KeyValue{{Key: cell.JobKey("j"), Value: value}})
	loop := newControlLoop(e.node, 2)
	e.configure(2, "other")
	loop.loadState()
	e.node.setLoop(nil)
	e.tracker = newWorkerTracker(context.Background(), e.node, loop)
	e.write("a", `{"ID":"a","Service":"s","Addr":"10.0.0.1:1"}`)
	e.write("b", `{"ID":"b","Service":"third","Addr":"10.0.0.2:1"}`)
	listed, removed := e.read()
	is.Equal(listed, []string{"a@10.0.0.1:1"})
	is.Equal(removed, []string{"b"})
}

// brokenStore returns cell.ErrExpired for each read, as the adapter does for records that it
// cannot decode.
type brokenStore struct {
	cell.Store
	reads, loads int
}

func (s *brokenStore) Read(context.Context, cell.Topic, int64, time.Duration) (cell.Batch, error) {
	s.reads++
	return cell.Batch{}, cell.ErrExpired
}

func (s *brokenStore) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	if s.loads++; s.loads > 100 {
		return cell.Batch{}, errors.New("the reader loads the topic without end")
	}
	return s.Store.Newest(ctx, topic)
}

// TestReaderGoesOnAfterABrokenRecord guards against a reader that reads the same record at each
// try: it loads the newest records instead. If these end at the same offset, the read is an
// error, so that the reader pauses; without it, it called the store in a loop.
func TestReaderGoesOnAfterABrokenRecord(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	e := newEntries(t)
	e.write("a", `{"ID":"a","Service":"s","Addr":"10.0.0.1:1"}`)
	e.read()
	broken := &brokenStore{Store: e.store}
	e.tracker.reader.store = broken
	e.write("b", `{"ID":"b","Service":"s","Addr":"10.0.0.2:1"}`)
	_, err := e.tracker.reader.read(ctx, 0)
	is.NoErr(err)
	is.Equal(len(e.tracker.workers), 2)
	is.True(e.tracker.reader.readToEnd(ctx) != nil)
	is.Equal(broken.loads, 2)
}

// TestOddPeersAreNotCalled guards against addresses in hello messages that are not those of
// VMs: they would be passed on to all VMs, called in turn while there is no owner, and named as
// proxies. The message itself is answered.
func TestOddPeersAreNotCalled(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm", PeerAddr: "10.0.0.1:7720", CPUCores: 1}, Ports{Store: &cellstore.Store{}}, io.Discard)
	n.holdsTerm.Store(true)
	loop := newControlLoop(n, 1)
	n.setLoop(loop)
	for _, addr := range []string{"", ":1", "vm", "vm:1", "10.0.0.2", "10.0.0.2:0", "10.0.0.2:99999", "10.0.0.2:1@x:2", "a b:1"} {
		resp, err := (&rpcServer{n}).Hello(context.Background(), &cellpb.HelloRequest{Name: "x", Addr: addr, StoreAnswers: true, Follows: true})
		is.NoErr(err)
		is.Equal(resp.Instance, n.instance)
	}
	is.Equal(len(n.knownPeers()), 0)
	is.Equal(len(n.storeProxyAddrs("")), 0)
	is.Equal(len(loop.hellos), 0) // none is an advice proxy or a successor
	reply := &cellpb.HelloResponse{Peers: []string{"", "vm:1", "10.0.0.2:7720"}, Relays: []string{"vm:1"}, Owner: &cellpb.Owner{Term: 9, Addr: "vm:1", Instance: "i"}}
	_, err := n.sendHello(context.Background(), cannedPeer{reply: reply})
	is.NoErr(err)
	is.Equal(n.knownPeers(), []string{"10.0.0.2:7720"})
	is.True(n.ownerRecord.Load() == nil)
	is.True(n.advertisedProxies.Load() == nil)
}

// cannedPeer is a VM that gives the same answer to each hello message.
type cannedPeer struct {
	cellpb.Cell
	reply *cellpb.HelloResponse
}

func (p cannedPeer) Hello(context.Context, *cellpb.HelloRequest) (*cellpb.HelloResponse, error) {
	return p.reply, nil
}

// TestLastEntryOfAReadCounts guards against a worker that is not used any more because one read returned its entry after an odd or
// removed one: its later entries are the same and are not posted.
func TestLastEntryOfAReadCounts(t *testing.T) {
	entry := func(addr string) string { return `{"ID":"w","Service":"s","Addr":"` + addr + `"}` }
	for _, test := range []struct {
		name            string
		values          []string
		listed, removed []string
	}{
		{"odd, then valid", []string{"odd", entry("a:1")}, nil, nil},
		{"removed, then valid", []string{"", entry("a:1")}, nil, nil},
		{"odd, then changed", []string{"odd", entry("a:2")}, []string{"w@a:2"}, nil},
		{"valid, then odd", []string{entry("a:2"), "odd"}, nil, []string{"w"}},
		{"valid, then removed", []string{entry("a:2"), ""}, nil, []string{"w"}},
		{"odd, then valid, then odd", []string{"odd", entry("a:1"), "odd"}, nil, []string{"w"}},
		{"two valid ones", []string{entry("a:2"), entry("a:3")}, []string{"w@a:3"}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newEntries(t)
			e.write("w", entry("a:1"))
			e.read()
			for _, value := range test.values {
				e.write("w", value)
			}
			listed, removed := e.read()
			is.Equal(listed, test.listed)
			is.Equal(removed, test.removed)
		})
	}
}
