package node

import (
	"context"
	"time"

	"gypsumwinch/internal/cell"
)

const (
	// dropEvery is how often the submissions of ended jobs are dropped, so that a
	// VM that starts has little to read.
	dropEvery = time.Second
	// dropMost bounds the jobs of one drop.
	dropMost = 400
	// collectEvery is how often ended jobs are dropped from the store.
	collectEvery = 10 * time.Second
	// collectMost bounds the jobs that are dropped at once.
	collectMost = 200
	// keepSlack is added to the time for which an ended job is kept: repeated
	// submissions of it arrive seconds later.
	keepSlack = 30 * time.Second
)

// collect drops jobs from the store that ended long ago, while this VM owns the
// cell.
func (n *Node) collect(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, collectEvery)
		if n.owning() == nil {
			if !standby(n.settings) {
				n.mirror.forget(boot() - n.settings.StatusRetention - keepSlack)
			}
			continue
		}
		before := boot() - n.settings.StatusRetention - keepSlack
		ids := n.mirror.expired(int64(before.Seconds()), collectMost)
		if len(ids) > 0 {
			n.drop(ctx, ids)
		}
	}
}

// dropResult is the result of dropping submissions: the jobs to drop again.
type dropResult struct{ again []cell.JobID }

// dropOver drops the submissions of ended jobs; their states are kept.
func (c *control) dropOver(ctx context.Context) {
	if c.dropping || len(c.over) == 0 || boot()-c.lastDrop < dropEvery {
		return
	}
	c.dropping = true
	c.lastDrop = boot()
	ids := c.over[:min(len(c.over), dropMost)]
	c.over = c.over[len(ids):]
	go func() {
		var again []cell.JobID
		if err := c.node.dropJobs(ctx, ids); err != nil {
			again = ids
		}
		c.dropped <- dropResult{again}
	}()
}

// dropJobs drops submissions and cancellings; a job that was never cancelled
// has no key to drop, which changes nothing.
func (n *Node) dropJobs(ctx context.Context, ids []cell.JobID) error {
	var records []cell.KeyValue
	for _, id := range ids {
		records = append(records, cell.KeyValue{Key: cell.JobKey(id)})
		if n.mirror.cancelled(id) {
			records = append(records, cell.KeyValue{Key: cell.CancelKey(id)})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := n.store.Append(ctx, cell.Append{Topic: cell.TopicJobs, Records: records, ExpectedEnd: -1})
	return err
}

// drop drops the states of jobs that ended long ago.
func (n *Node) drop(ctx context.Context, ids []cell.JobID) {
	var records []cell.KeyValue
	for _, id := range ids {
		records = append(records, cell.KeyValue{Key: cell.ProgressKey(id)})
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := n.store.Append(ctx, cell.Append{Topic: cell.TopicProgress, Records: records, ExpectedEnd: -1}); err != nil {
		n.log.Warn("ended jobs are not dropped yet", "jobs", len(ids), "error", err.Error())
		return
	}
	for _, id := range ids {
		n.mirror.apply(cell.Record{Job: id, Kind: cell.RecordProgress})
	}
	n.log.Info("ended jobs are dropped", "jobs", len(ids))
}
