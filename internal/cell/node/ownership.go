package node

import (
	"context"
	"errors"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/internal/cell/owner"
	"gypsumwinch/internal/progress"
)

const (
	// defaultTakeoverTimeout is how long the steps of a takeover may fail while this VM's
	// heartbeats keep the other VMs from claiming the cell.
	defaultTakeoverTimeout = 10 * time.Second
	// takeoverRetryInterval is the pause after a step of the takeover that
	// failed.
	takeoverRetryInterval = 100 * time.Millisecond
	// resignTimeout bounds recording a resignation and asking the successor.
	resignTimeout = 600 * time.Millisecond
)

// campaign claims the cell whenever it has no owner, and then owns it until
// the term ends. It runs on every VM, on a goroutine that Run starts, until
// ctx ends or ResignOwnership is called.
func (n *Node) campaign(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ownershipCtx, cancel)()
	for ctx.Err() == nil {
		term, err := n.election.Campaign(ctx)
		if err != nil {
			return
		}
		n.runOwnership(ctx, term)
	}
}

// runOwnership owns the cell for one term: it sends heartbeats, takes over the
// state and runs the control loop until one of them ends. campaign calls it,
// on its own goroutine, each time this VM has claimed the cell.
func (n *Node) runOwnership(ctx context.Context, term int64) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	startedAt := bootTime()
	n.heartbeatAt.Store(int64(n.election.OwnedAt()))
	n.holdsTerm.Store(true)
	defer n.holdsTerm.Store(false)
	n.replica.setKept(true)
	defer n.replica.setKept(false)
	n.leaseStatement.Store(nil)
	c := newControlLoop(n, term)
	var wg sync.WaitGroup
	var heartbeatsEnd error
	wg.Go(func() {
		defer cancel()
		heartbeatsEnd = n.containInTerm("heartbeats", func() error { return n.election.SendHeartbeats(termCtx) })
		n.log.Info("heartbeats have ended", "term", term, "reason", heartbeatsEnd.Error())
	})
	err := n.containInTerm("takeover", func() error { return n.takeOver(termCtx, c) })
	if err == nil {
		n.log.Info("owning the cell", "term", term, "after_ms", (bootTime() - startedAt).Milliseconds())
		n.metrics.ownerTerm.Set(float64(term))
		wg.Go(func() { n.runLoop(termCtx, "workers", func(ctx context.Context) { n.pollWorkers(ctx, c) }) })
		wg.Go(func() {
			n.runLoop(termCtx, "former owner", func(ctx context.Context) { n.awaitFormerOwnersEnd(ctx, c) })
		})
		err = n.containInTerm("control loop", func() error { return c.run(termCtx) })
	}
	n.setLoop(nil)
	close(c.done)
	n.holdsTerm.Store(false)
	n.metrics.ownerTerm.Set(0)
	n.metrics.customerLoads.set(nil)
	n.metrics.setHealth(owner.Health{})
	n.metrics.setDistinctWorkers(0, 0)
	cancel()
	wg.Wait()
	n.log.Info("ownership has ended", "term", term, "reason", err.Error())
	if !errors.Is(heartbeatsEnd, election.ErrDeposed) {
		n.resign(ctx, c.successor)
	}
}

// containInTerm runs a part of an ownership and returns a panic in it as its error, so
// that it ends the ownership: the state in memory may be inconsistent; that in the store
// is not. runOwnership calls it for the parts that are not started again within the term.
func (n *Node) containInTerm(part string, f func() error) (err error) {
	if p := n.panics.contain(part, func() { err = f() }); p != nil {
		return p
	}
	return err
}

// resign records the resignation, so that other VMs may claim at once. A VM
// that stops also asks its successor to claim. runOwnership calls it at the end
// of each term that no claim of another VM has ended, when heartbeats and the
// control loop have ended.
func (n *Node) resign(ctx context.Context, successor cellpb.Cell) {
	resignCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
	defer cancel()
	if err := n.election.Resign(resignCtx); err != nil {
		n.log.Info("cannot record resignation", "error", err.Error())
		return
	}
	if ctx.Err() == nil || successor == nil {
		return
	}
	if _, err := successor.Succeed(resignCtx, &cellpb.SucceedRequest{Instance: n.instance}); err != nil {
		n.log.Info("the successor does not answer", "error", err.Error())
	}
}

// takeOver fences the former owner and loads the recorded state into the state
// machine. It fails if a later owner has fenced this one, or if its steps have failed
// for takeoverTimeout while heartbeats were accepted: another VM may be able to take
// over. Without heartbeats the others claim the cell if they can, so that a takeover goes
// on for as long as the store answers nobody. runOwnership calls it at the start of each
// term, on the goroutine of campaign, while another goroutine already sends heartbeats.
func (n *Node) takeOver(ctx context.Context, c *controlLoop) error {
	var formerRenewals sync.WaitGroup
	defer formerRenewals.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	giveUpAt := bootTime() + n.takeoverTimeout
	if n.replica.isIncomplete() {
		n.unloadTopics()
	}
	var renewalsEnd time.Duration
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"fence the progress", func(ctx context.Context) error {
			fencedAt, err := c.fenceProgress(ctx)
			if err == nil {
				formerRenewals.Go(func() {
					renewalsEnd = fencedAt + owner.AuthorityTimeout // also after a panic
					_ = n.panics.contain("takeover", func() {
						renewalsEnd = n.election.FindFormerRenewalsEnd(ctx, fencedAt, owner.AuthorityTimeout)
					})
				})
			}
			return err
		}},
		{"read the progress", n.progressReader.readToEnd},
		{"read the jobs", n.jobsReader.readToEnd},
		{"read the configuration", n.requireConfig},
	}
	for _, s := range steps {
		for {
			err := s.do(ctx)
			if err == nil {
				break
			}
			if !n.hasRecentHeartbeat() {
				giveUpAt = bootTime() + n.takeoverTimeout
			}
			if ctx.Err() != nil || errors.Is(err, cell.ErrFenced) || bootTime() >= giveUpAt {
				return eris.Wrap(err, s.name)
			}
			n.log.Warn("takeover waits", "step", s.name, "error", err.Error())
			sleep(ctx, takeoverRetryInterval)
		}
	}
	formerRenewals.Wait()
	c.machine.Apply(eventTime(), owner.FormerOwnersFenced{RenewalsEnd: renewalsEnd, Bounds: n.formerLeaseBounds()})
	c.loadState()
	return nil
}

// unloadTopics empties the replica and makes the readers of its topics load them again.
// A VM that is no follower has removed jobs from its replica (forgetBefore) that the
// topics still hold. What callers of this VM add meanwhile is in the store already, so
// that it is loaded too. takeOver calls it.
func (n *Node) unloadTopics() {
	n.progressReader.unload(func() {
		n.jobsReader.unload(n.replica.clear)
	})
}

// awaitFormerOwnersEnd asks at the addresses of former owners whether their ownerships have
// ended, for as long as they may have authority. The claim may have followed a refused
// connection, before another process was started, or a pause of the former owner; an owner
// before that one matters if the last one has recorded nothing about it.
// runOwnership calls it on its own goroutine after the takeover.
func (n *Node) awaitFormerOwnersEnd(ctx context.Context, c *controlLoop) {
	for deadline := bootTime() + owner.AuthorityTimeout; ctx.Err() == nil && bootTime() < deadline; sleep(ctx, helloInterval) {
		former := n.election.FormerOwners()
		if len(former) == 0 {
			return
		}
		for _, r := range former {
			resp, err := n.sendHello(ctx, n.peer(r.Addr))
			if err != nil || !provesEnd(resp, r.Instance) {
				continue
			}
			c.post(ctx, owner.FormerOwnersFenced{RenewalsEnd: n.election.FormerOwnerEnded(ctx, r)})
		}
	}
}

// noTermOffset is HelloResponse.Offset of a VM that holds no term: it renews no lease.
// Previous builds leave the field at 0.
const noTermOffset = -1

// provesEnd reports whether an answer to a hello message, from the address of a former owner,
// proves that the ownership of an instance has ended: another process answers, or it
// answers that it holds no term. An owner that was paused still renews leases until a
// worker or the store refuses it.
func provesEnd(resp *cellpb.HelloResponse, instance string) bool {
	return resp.Instance != instance || resp.Offset == noTermOffset
}

// requireConfig fails while no configuration is known. It is the last step of
// a takeover, which retries it after a failure.
func (n *Node) requireConfig(context.Context) error {
	if n.config.Load() == nil {
		return eris.New("no configuration is known")
	}
	return nil
}

// fenceProgress makes the store refuse progress records of former owners, and returns
// since when it does. It is the first step of a takeover, which retries it unless a later owner has
// fenced this one.
func (c *controlLoop) fenceProgress(ctx context.Context) (fencedAt time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = c.node.store.Append(ctx, cell.Append{Topic: cell.TopicProgress, ExpectedEnd: -1, Epoch: c.term})
	return bootTime(), err
}

// loadState passes the recorded state to the state machine. From here on new
// submissions reach the control loop. Those that arrive between setting the
// loop and reading the replica reach the state machine twice, which ignores
// known jobs. takeOver calls it once, after its steps and before the control
// loop runs.
func (c *controlLoop) loadState() {
	c.node.setLoop(c)
	// The pause between two reads of a follower is too long for an owner.
	c.node.jobsReader.pollNow()
	c.machine.Apply(eventTime(), owner.ConfigChanged{Config: c.node.config.Load()})
	jobs := c.node.replica.unfinishedJobs(func(id cell.JobID, err error) {
		c.log.Error("cannot decode job; it is not taken over", "id", string(id), "error", err.Error())
	})
	count := 0
	for u := range jobs {
		count++
		_ = c.node.panics.contain("takeover", func() { c.loadJob(u) })
	}
	c.finishedJobs = c.node.replica.finishedSubmissions()
	c.log.Info("state is taken over", "term", c.term, "unfinished_jobs", count)
}

// loadJob passes one unfinished job to the state machine. loadState calls it for each;
// a job that cannot be loaded does not keep the others from it.
func (c *controlLoop) loadJob(u unfinishedJob) {
	c.jobServices[u.job.Queue.Service] = true
	c.takeoverActions = append(c.takeoverActions, c.machine.Apply(eventTime(), owner.JobSubmitted{Job: u.job, Progress: u.progress})...)
	if u.isCancelled {
		c.takeoverActions = append(c.takeoverActions, c.machine.Apply(eventTime(), owner.JobCancelled{Job: u.job.ID})...)
	}
}

// postRecord posts a new record of topic jobs to the control loop.
// applyJobRecords calls it while this VM owns the cell, on the goroutine of a
// topic reader, of a caller's request or of an RPC of another VM.
func (c *controlLoop) postRecord(r cell.Record, log hclog.Logger) {
	var ev owner.Event
	switch r.Kind {
	case cell.RecordJob:
		job, err := cell.DecodeJob(r.Job, r.Value)
		if err != nil {
			log.Error("job cannot be read", "id", string(r.Job), "error", err.Error())
			return
		}
		ev = owner.JobSubmitted{Job: job}
	case cell.RecordCancel:
		ev = owner.JobCancelled{Job: r.Job}
	default:
		return
	}
	select {
	case c.events <- ev:
	case <-c.done:
	}
}

// firstListTimeout bounds the time without progress of the first attempts of a new owner to read
// the list of workers. An attempt that began in an outage of the store is not answered after its end
// either, and the owner places nothing without the list. listAttempts is the number of these attempts
// before one that may wait longer, as for a store proxy, which answers with the whole list.
const (
	firstListTimeout = 1500 * time.Millisecond
	listAttempts     = 3
)

// pollWorkers reads the workers' entries while this VM owns the cell.
// runOwnership starts it on its own goroutine after the takeover; it ends with
// the term.
func (n *Node) pollWorkers(ctx context.Context, c *controlLoop) {
	tracker := newWorkerTracker(ctx, n, c)
	reader := tracker.reader
	for attempt := 1; ctx.Err() == nil && !reader.isLoaded.Load(); attempt++ {
		if err := tracker.load(ctx, attempt); err != nil {
			sleep(ctx, readRetryInterval)
		}
	}
	for ctx.Err() == nil {
		_, err := reader.read(ctx, 0)
		reader.logFailureChange(err)
		sleep(ctx, workerListInterval)
		tracker.postConfig(ctx)
	}
}

// load makes one attempt to read the list of workers for the first time. pollWorkers calls it
// until one succeeds.
func (t *workerTracker) load(ctx context.Context, attempt int) error {
	if attempt%(listAttempts+1) != 0 {
		var cancel context.CancelFunc
		ctx, cancel = progress.WithStallTimeout(ctx, firstListTimeout, firstListTimeout)
		defer cancel()
	}
	_, err := t.reader.read(ctx, 0)
	t.reader.logFailureChange(err)
	return err
}

// workerTracker posts changes of the workers' entries and of the configuration
// to the control loop.
type workerTracker struct {
	node    *Node
	loop    *controlLoop
	reader  *topicReader
	workers map[string]cell.Worker
	// unnamed holds the entries of services that isNamed does not report.
	unnamed map[string]cell.Worker
	// services are those of the jobs that were taken over and those that a configuration of
	// this term has named: accepted jobs run also if their service is dropped.
	services      map[string]bool
	configVersion int64
}

// newWorkerTracker returns a tracker that has read nothing. pollWorkers calls it once;
// events are posted until ctx ends.
func newWorkerTracker(ctx context.Context, n *Node, c *controlLoop) *workerTracker {
	t := &workerTracker{node: n, loop: c, workers: map[string]cell.Worker{}, unnamed: map[string]cell.Worker{}, services: maps.Clone(c.jobServices)}
	t.reader = n.newTopicReader(cell.TopicWorkers, func(records []cell.KeyValue) { t.applyRecords(ctx, records) })
	t.reader.knownKeys = func() []string {
		return slices.AppendSeq(slices.Collect(maps.Keys(t.workers)), maps.Keys(t.unnamed))
	}
	return t
}

// applyRecords posts the entries that were added, changed or removed, as one
// event. Of several records of a key only the last one counts: the event does not
// tell the order of its parts, and a worker that it lists and removes would be
// removed for good. The topic reader of the workers' entries calls it after each
// read, on the goroutine of pollWorkers.
func (t *workerTracker) applyRecords(ctx context.Context, records []cell.KeyValue) {
	var ev owner.WorkersListed
	for _, r := range lastOfEachKey(records) {
		_, wasUnnamed := t.unnamed[r.Key]
		delete(t.unnamed, r.Key)
		if len(r.Value) == 0 {
			delete(t.workers, r.Key)
			ev.Removed = append(ev.Removed, r.Key)
			continue
		}
		w, err := t.node.decoder.Worker(r.Key, r.Value)
		if err != nil {
			t.dropUnreadable(r.Key, err)
			ev.Removed = append(ev.Removed, r.Key)
			continue
		}
		if config := t.node.config.Load(); config != nil && !t.isNamed(config, w.Service) {
			t.setAside(w, !wasUnnamed)
			ev.Removed = append(ev.Removed, r.Key)
			continue
		}
		if old, ok := t.workers[r.Key]; ok && reflect.DeepEqual(old, w) {
			continue
		}
		t.workers[r.Key] = w
		ev.Workers = append(ev.Workers, w)
	}
	if len(ev.Workers) > 0 || len(ev.Removed) > 0 {
		t.loop.post(ctx, ev)
	}
}

// lastOfEachKey returns the last record of each key, in the order of the records.
func lastOfEachKey(records []cell.KeyValue) []cell.KeyValue {
	last := make(map[string]int, len(records))
	for i, r := range records {
		last[r.Key] = i
	}
	out := make([]cell.KeyValue, 0, len(last))
	for i, r := range records {
		if last[r.Key] == i {
			out = append(out, r)
		}
	}
	return out
}

// isNamed reports whether the configuration in force names a service, or an earlier one of this
// term or a job that was taken over does.
func (t *workerTracker) isNamed(config *cell.Config, service string) bool {
	return config.NamesService(service) || t.services[service]
}

// setAside keeps the entry of a service that isNamed does not report, until it does.
// Another writer may have written the entry: under the id of a worker, its address must not
// replace that of the worker, where runs may have to be stopped. applyRecords calls it.
func (t *workerTracker) setAside(w cell.Worker, isNew bool) {
	delete(t.workers, w.ID)
	t.unnamed[w.ID] = w
	if isNew { // each heartbeat of a worker writes its entry
		t.node.log.Warn("entry of a worker names an unknown service", "id", w.ID, "service", w.Service)
	}
}

// dropUnreadable logs an entry that cannot be decoded. The worker is removed
// because nothing in the entry can be used. Its runs go on: the owner renews and stops them
// at the address of the last entry that could be used. applyRecords calls it for each
// such entry.
func (t *workerTracker) dropUnreadable(key string, err error) {
	delete(t.workers, key)
	t.node.log.Warn("entry of a worker cannot be read", "id", key, "error", err.Error())
}

// postConfig posts the configuration if its version has changed. pollWorkers
// calls it every workerListInterval.
func (t *workerTracker) postConfig(ctx context.Context) {
	config := t.node.config.Load()
	if config == nil || config.Version == t.configVersion {
		return
	}
	t.configVersion = config.Version
	config.AddServices(t.services)
	t.loop.post(ctx, owner.ConfigChanged{Config: config})
	t.listNamed(ctx, config)
}

// listNamed posts the entries that were set aside and whose service a new configuration
// names. postConfig calls it.
func (t *workerTracker) listNamed(ctx context.Context, config *cell.Config) {
	var ev owner.WorkersListed
	for _, id := range slices.Sorted(maps.Keys(t.unnamed)) {
		w := t.unnamed[id]
		if !t.isNamed(config, w.Service) {
			continue
		}
		delete(t.unnamed, id)
		t.workers[id] = w
		ev.Workers = append(ev.Workers, w)
	}
	if len(ev.Workers) > 0 {
		t.loop.post(ctx, ev)
	}
}

// heartbeatAccepted records when a heartbeat was sent that the store accepted, and
// reports it to the control loop, if there is one. The election calls it for
// each accepted heartbeat, on the goroutine of SendHeartbeats, also during the
// takeover.
func (n *Node) heartbeatAccepted(sentAt time.Duration) {
	n.heartbeatAt.Store(int64(sentAt))
	if c := n.activeLoop(); c != nil {
		select {
		case c.events <- owner.HeartbeatStored{SentAt: sentAt}:
		default:
			// The loop is behind. The next heartbeat follows within 0.4 s.
		}
	}
	n.ownerRecord.Store(&election.OwnerRecord{Term: n.election.LastRecord().Term, Node: n.settings.Name, Addr: n.settings.PeerAddr, Instance: n.instance})
}

// ResignOwnership ends the ownership of a VM that is about to stop and keeps
// it from claiming again. Call it before the context of Run ends; the daemon
// does so when it is asked to stop, after Drain.
func (n *Node) ResignOwnership() {
	n.cancelOwnership()
}
