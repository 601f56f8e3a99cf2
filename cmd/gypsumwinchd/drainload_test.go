package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/node"
	"gypsumwinch/platform"
	"gypsumwinch/standin/cellstore"
)

// This test drains one of several VMs under load. It judges the requests that the process
// has certainly read whole, by the number of bytes read from each connection.

var (
	drainSeed  = flag.Uint64("drain.seed", 1, "first seed of the drain under load")
	drainSeeds = flag.Uint64("drain.seeds", 4, "number of seeds of the drain under load")
	drainGrace = flag.Duration("drain.grace", 3*time.Second, "grace period of the drain under load")
	drainExit  = flag.Bool("drain.exit", false, "close all connections when the drain ends, as the exit of the process does, and check that it ends within the grace period")
)

const (
	loadNodes   = 3
	loadClients = 16
)

// loadStore is a store whose topics carry out one append at a time. An append whose
// caller has given it up is carried out nevertheless.
type loadStore struct {
	*cellstore.Store
	// delay is the time that an append takes.
	delay time.Duration
	locks map[cell.Topic]*sync.Mutex
	late  *sync.WaitGroup
	// appended has the keys of all job records that were ever appended: those of ended
	// jobs are deleted.
	appended *sync.Map
	// silentUntil ends the silence of this VM's calls, if there is one.
	silentUntil atomic.Int64
}

func (s *loadStore) awaitAnswers() {
	time.Sleep(time.Until(time.Unix(0, s.silentUntil.Load())))
}

func (s *loadStore) Append(ctx context.Context, a cell.Append) (int64, error) {
	type result struct {
		end int64
		err error
	}
	answer := make(chan result, 1)
	s.late.Go(func() {
		s.locks[a.Topic].Lock()
		defer s.locks[a.Topic].Unlock()
		time.Sleep(s.delay)
		end, err := s.Store.Append(context.Background(), a)
		if err == nil && a.Topic == cell.TopicJobs {
			for _, r := range a.Records {
				if len(r.Value) > 0 {
					s.appended.Store(r.Key, true)
				}
			}
		}
		s.awaitAnswers()
		answer <- result{end, err}
	})
	select {
	case r := <-answer:
		return r.end, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (s *loadStore) Read(ctx context.Context, topic cell.Topic, from int64, wait time.Duration) (cell.Batch, error) {
	if err := s.await(ctx); err != nil {
		return cell.Batch{}, err
	}
	return s.Store.Read(ctx, topic, from, wait)
}

func (s *loadStore) Newest(ctx context.Context, topic cell.Topic) (cell.Batch, error) {
	if err := s.await(ctx); err != nil {
		return cell.Batch{}, err
	}
	return s.Store.Newest(ctx, topic)
}

// await waits for the end of the silence or of ctx.
func (s *loadStore) await(ctx context.Context) error {
	select {
	case <-time.After(time.Until(time.Unix(0, s.silentUntil.Load()))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// countingListener counts the bytes that the process reads, by the client's address.
type countingListener struct {
	net.Listener
	read *sync.Map
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	count := &atomic.Int64{}
	l.read.Store(c.RemoteAddr().String(), count)
	return countingConn{c, count}, nil
}

type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

// drainLoad is one run of the test.
type drainLoad struct {
	seed  uint64
	addr  string
	read  sync.Map
	mu    sync.Mutex
	fault []string
	// statuses are the statuses of the submissions and cancellations by key of their
	// record; 0 stands for no answer.
	statuses map[string][]int
	answers  map[int]int
	// unread counts the requests of which the process had not read the end when their
	// connections ended.
	unread int
}

// loadConn is a connection of a client.
type loadConn struct {
	net.Conn
	reader *bufio.Reader
	sent   int64
}

// send sends one request, sometimes in two parts, and reads its answer. It returns
// whether the connection can be used again.
func (l *drainLoad) send(rng *rand.Rand, c *loadConn, method, path, body, key string) bool {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Gypsumwinch-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, 300+rng.IntN(2700), len(body), body)
	cut := len(text)
	if rng.IntN(4) == 0 {
		cut = rng.IntN(len(text))
	}
	for i, part := range []string{text[:cut], text[cut:]} {
		if i == 1 && part != "" {
			time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		}
		if n, err := io.WriteString(c, part); err != nil {
			c.sent += int64(n)
			l.note(key, 0)
			l.noteUnread()
			return false
		}
		c.sent += int64(len(part))
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err == nil {
		l.note(key, resp.StatusCode)
		return !resp.Close
	}
	l.note(key, 0)
	count, accepted := l.read.Load(c.LocalAddr().String())
	if accepted && count.(*atomic.Int64).Load() >= c.sent {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.fault = append(l.fault, fmt.Sprintf("%s was read whole and not answered: %v", method, err))
		return false
	}
	l.noteUnread()
	return false
}

func (l *drainLoad) noteUnread() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unread++
}

func (l *drainLoad) note(key string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[status]++
	if key != "" {
		l.statuses[key] = append(l.statuses[key], status)
	}
}

// runClient sends requests of all kinds until it can open no connection.
func (l *drainLoad) runClient(number int) {
	rng := rand.New(rand.NewPCG(l.seed, uint64(number)))
	var ids []string
	for {
		nc, err := net.Dial("tcp", l.addr)
		if err != nil {
			return
		}
		c := &loadConn{Conn: nc, reader: bufio.NewReader(nc)}
		for usable := true; usable; {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(30*time.Millisecond)))
			id := fmt.Sprintf("%08x%08x", number, len(ids))
			kind := rng.IntN(10)
			if kind < 4 || len(ids) == 0 {
				ids = append(ids, id)
				usable = l.send(rng, c, http.MethodPost, "/q/"+id, `{"Phases":[{"Count":1,"Cpu":500}]}`, cell.JobKey(cell.JobID(id)))
				continue
			}
			switch kind {
			case 4:
				usable = l.send(rng, c, http.MethodGet, "/q/", "", "")
			case 5, 6:
				last := ids[len(ids)-1]
				usable = l.send(rng, c, http.MethodDelete, "/q/"+last, "", cell.CancelKey(cell.JobID(last)))
			default:
				usable = l.send(rng, c, http.MethodGet, "/q/"+ids[rng.IntN(len(ids))], "", "")
			}
		}
		c.Close()
	}
}

// checkRecords compares the answers with the records that were appended.
func (l *drainLoad) checkRecords(appended *sync.Map) {
	for key, statuses := range l.statuses {
		accepted, mayHaveRun := false, false
		_, isRecorded := appended.Load(key)
		for _, status := range statuses {
			accepted = accepted || status == http.StatusOK
			mayHaveRun = mayHaveRun || status != http.StatusServiceUnavailable && status != http.StatusGone
		}
		switch {
		case accepted && !isRecorded:
			l.fault = append(l.fault, key+" was accepted and is not recorded")
		case !mayHaveRun && isRecorded:
			l.fault = append(l.fault, fmt.Sprintf("%s was answered with %v and is recorded", key, statuses))
		}
	}
}

// freePeerAddr returns an address of the loopback interface on which nothing listens.
func freePeerAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func runDrainLoad(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1<<40))
	store := &cellstore.Store{}
	var late sync.WaitGroup
	var appended sync.Map
	locks := map[cell.Topic]*sync.Mutex{}
	for _, topic := range []cell.Topic{cell.TopicOwner, cell.TopicJobs, cell.TopicProgress, cell.TopicConfig, cell.TopicWorkers} {
		locks[topic] = &sync.Mutex{}
	}
	var delay time.Duration
	if rng.IntN(2) == 0 {
		delay = 300*time.Millisecond + time.Duration(rng.IntN(100))*time.Millisecond
	}
	_, err := store.Append(context.Background(), cell.Append{
		Topic: cell.TopicConfig, ExpectedEnd: -1, Records: []cell.KeyValue{{Key: "config", Value: []byte(testConfig)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	// The VM with the most processor time becomes the owner; the smallest is no follower.
	cores := []float64{0.9, 0.5, 0.2}
	drained := rng.IntN(loadNodes)
	var stores []*loadStore
	var nodes []*node.Node
	var cancels []context.CancelFunc
	results := make(chan error, 2*loadNodes)
	for i := range loadNodes {
		s := &loadStore{Store: store, delay: delay, locks: locks, late: &late, appended: &appended}
		n := node.New(node.Settings{Name: fmt.Sprintf("vm-%d", i), PeerAddr: freePeerAddr(t), CPUCores: cores[i], LeaseLimit: time.Second, StatusRetention: time.Minute},
			node.Ports{Store: s, Decoder: decoder{}}, io.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		nodeResults := results
		if i != drained {
			nodeResults = make(chan error, 1)
		}
		go func() { nodeResults <- n.Run(ctx) }()
		stores, nodes, cancels = append(stores, s), append(nodes, n), append(cancels, cancel)
	}
	for _, n := range nodes {
		for n.Config() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	l := &drainLoad{seed: seed, statuses: map[string][]int{}, answers: map[int]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.addr = listener.Addr().String()
	server := serve(countingListener{listener, &l.read}, nodes[drained].ContainPanics("callers", platform.NewIngress(nodes[drained])), testLimits, results)
	var clients sync.WaitGroup
	for i := range loadClients {
		clients.Go(func() { l.runClient(i) })
	}
	time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	silence := "none"
	if kind := rng.IntN(3); kind > 0 {
		startsAfter := time.Duration(rng.Int64N(int64(*drainGrace)))
		lasts := time.Duration(500+rng.IntN(4000)) * time.Millisecond
		silence = fmt.Sprintf("%v after %v", lasts, startsAfter)
		silenced := stores
		if kind == 1 {
			silenced = stores[drained : drained+1]
			silence += " for the drained VM"
		}
		time.AfterFunc(startsAfter, func() {
			for _, s := range silenced {
				s.silentUntil.Store(time.Now().Add(lasts).UnixNano())
			}
		})
	}
	startedAt := time.Now()
	code := drain(nodes[drained], server, cancels[drained], results, *drainGrace)
	took := time.Since(startedAt)
	if *drainExit {
		server.Close()
		if took > *drainGrace {
			l.fault = append(l.fault, fmt.Sprintf("the drain took %v", took))
		}
	}
	clients.Wait()
	for _, cancel := range cancels {
		cancel()
	}
	late.Wait()
	l.checkRecords(&appended)
	t.Logf("seed %d: drained VM %d, append %v, silence %s: took %v, code %d, answers %v, requests not read %d",
		seed, drained, delay, silence, took.Round(time.Millisecond), code, l.answers, l.unread)
	for _, f := range l.fault {
		t.Errorf("seed %d: %s", seed, f)
	}
}

// TestDrainUnderLoad guards callers of a VM that is stopped: every request that the process
// has read is answered, what was accepted is recorded, and what was refused is not.
func TestDrainUnderLoad(t *testing.T) {
	for i := range *drainSeeds {
		t.Run(fmt.Sprint(*drainSeed+i), func(t *testing.T) {
			t.Parallel()
			runDrainLoad(t, *drainSeed+i)
		})
	}
}
