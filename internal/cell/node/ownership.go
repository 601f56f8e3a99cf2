package node

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/internal/cell/owner"
)

const (
	// takeoverTimeout bounds the reading of the state by a new owner.
	takeoverTimeout = 10 * time.Second
	// takeoverRetry is the pause between its tries.
	takeoverRetry = 100 * time.Millisecond
	// resignTimeout bounds the record of a resignation.
	resignTimeout = 600 * time.Millisecond
)

// campaign claims the cell whenever it has no owner, and owns it.
func (n *Node) campaign(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ownCtx, cancel)()
	for ctx.Err() == nil {
		term, err := n.election.Campaign(ctx)
		if err != nil {
			return
		}
		n.own(ctx, term)
	}
}

// own owns the cell for one term.
func (n *Node) own(ctx context.Context, term int64) {
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	began := boot()
	n.beatAt.Store(int64(began))
	n.holding.Store(true)
	defer n.holding.Store(false)
	c := newControl(n, term)
	var wg sync.WaitGroup
	wg.Go(func() {
		defer cancel()
		err := n.election.Hold(held)
		n.log.Info("beats have ended", "term", term, "reason", err.Error())
	})
	err := n.takeOver(held, c)
	if err == nil {
		n.log.Info("owning the cell", "term", term, "after_ms", (boot() - began).Milliseconds())
		n.metrics.owning.Set(float64(term))
		wg.Go(func() { n.followWorkers(held, c) })
		err = c.run(held)
	}
	n.setControl(nil)
	n.holding.Store(false)
	n.metrics.owning.Set(0)
	cancel()
	wg.Wait()
	n.log.Info("ownership has ended", "term", term, "reason", err.Error())
	n.resign(ctx, err, c.successor)
}

// resign tells the others that they may claim, if this VM leaves by itself. A
// VM that stops asks its successor to claim at once.
func (n *Node) resign(ctx context.Context, reason error, successor cellpb.Cell) {
	if ctx.Err() == nil && !errors.Is(reason, errResigned) {
		return
	}
	resignCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
	defer cancel()
	if err := n.election.Resign(resignCtx); err != nil {
		n.log.Info("resignation is not recorded", "error", err.Error())
		return
	}
	if ctx.Err() == nil || successor == nil {
		return
	}
	if _, err := successor.Succeed(resignCtx, &cellpb.SucceedRequest{Instance: n.instance}); err != nil {
		n.log.Info("the successor does not answer", "error", err.Error())
	}
}

// takeOver fences the former owner and gives the machine all that is recorded.
func (n *Node) takeOver(ctx context.Context, c *control) error {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"fence the progress", c.fence},
		{"read the progress", n.progress.catchUp},
		{"read the jobs", n.jobs.catchUp},
		{"read the configuration", n.awaitConfig},
	}
	for _, s := range steps {
		for {
			err := s.do(ctx)
			if err == nil {
				break
			}
			if ctx.Err() != nil || errors.Is(err, cell.ErrFenced) {
				return eris.Wrap(err, s.name)
			}
			n.log.Warn("takeover waits", "step", s.name, "error", err.Error())
			pause(ctx, takeoverRetry)
		}
	}
	c.load()
	return nil
}

// awaitConfig fails while no configuration is known.
func (n *Node) awaitConfig(context.Context) error {
	if n.config.Load() == nil {
		return eris.New("no configuration is known")
	}
	return nil
}

// fence makes the store refuse the former owner's appends.
func (c *control) fence(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := c.node.store.Append(ctx, cell.Append{Topic: cell.TopicProgress, ExpectedEnd: -1, Epoch: c.term})
	return err
}

// load gives the machine what is recorded. From here on new submissions reach
// the control loop; those read between are known already and ignored.
func (c *control) load() {
	c.node.setControl(c)
	c.machine.Apply(now(), owner.ConfigChanged{Config: c.node.config.Load()})
	jobs := c.node.mirror.unfinishedJobs(func(id cell.JobID, err error) {
		c.log.Error("job cannot be taken over", "id", string(id), "error", err.Error())
	})
	for _, u := range jobs {
		c.loaded = append(c.loaded, c.machine.Apply(now(), owner.JobSubmitted{Job: u.job, Progress: u.progress})...)
		if u.cancelled {
			c.loaded = append(c.loaded, c.machine.Apply(now(), owner.JobCancelled{Job: u.job.ID})...)
		}
	}
	c.over = c.node.mirror.over()
	c.log.Info("state is taken over", "term", c.term, "unfinished_jobs", len(jobs))
}

// passOn passes a new record of topic jobs to the control loop.
func (c *control) passOn(r cell.Record, log hclog.Logger) {
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
	case <-c.ended:
	}
}

// followWorkers reads the workers' entries while this VM owns the cell.
func (n *Node) followWorkers(ctx context.Context, c *control) {
	l := &workerList{node: n, control: c, known: map[string]cell.Worker{}}
	t := n.newTail(cell.TopicWorkers, func(records []cell.KeyValue) { l.take(ctx, records) })
	for ctx.Err() == nil {
		before := t.loaded.Load()
		_, err := t.read(ctx, 0)
		t.logChange(err)
		if !before && t.loaded.Load() {
			continue
		}
		pause(ctx, listEvery)
		l.passConfig(ctx)
	}
}

// workerList passes changes of the workers' entries on.
type workerList struct {
	node    *Node
	control *control
	known   map[string]cell.Worker
	version int64
}

func (l *workerList) take(ctx context.Context, records []cell.KeyValue) {
	var ev owner.WorkersListed
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(l.known, r.Key)
			ev.Removed = append(ev.Removed, r.Key)
			continue
		}
		w, err := l.node.decoder.Worker(r.Key, r.Value)
		if err != nil {
			l.unreadable(r.Key, err)
			ev.Removed = append(ev.Removed, r.Key)
			continue
		}
		if old, ok := l.known[r.Key]; ok && reflect.DeepEqual(old, w) {
			continue
		}
		l.known[r.Key] = w
		ev.Workers = append(ev.Workers, w)
	}
	if len(ev.Workers) > 0 || len(ev.Removed) > 0 {
		l.control.post(ctx, ev)
	}
}

// unreadable logs an entry of another writer; it names no worker to use.
func (l *workerList) unreadable(key string, err error) {
	delete(l.known, key)
	l.node.log.Warn("entry of a worker cannot be read", "id", key, "error", err.Error())
}

// passConfig passes a new configuration on.
func (l *workerList) passConfig(ctx context.Context) {
	config := l.node.config.Load()
	if config == nil || config.Version == l.version {
		return
	}
	l.version = config.Version
	l.control.post(ctx, owner.ConfigChanged{Config: config})
}

// beaten notes that the store accepted a beat.
func (n *Node) beaten() {
	n.beatAt.Store(int64(boot()))
	if c := n.owning(); c != nil {
		select {
		case c.events <- owner.HeartbeatStored{}:
		default:
			// The loop is behind; the next beat is 0.4 s away.
		}
	}
	n.owner.Store(&election.Record{Term: n.election.Last().Term, Node: n.settings.Name, Addr: n.settings.PeerAddr, Instance: n.instance})
}

// ResignOwnership ends the ownership of a VM that is about to stop, and keeps it from
// claiming again.
func (n *Node) ResignOwnership() {
	n.stopOwning()
}
