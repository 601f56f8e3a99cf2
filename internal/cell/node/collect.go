package node

import (
	"context"
	"time"

	"gypsumwinch/internal/cell"
)

const (
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
			continue
		}
		before := boot() - n.settings.StatusKept - keepSlack
		ids := n.mirror.expired(int64(before.Seconds()), collectMost)
		if len(ids) > 0 {
			n.drop(ctx, ids)
		}
	}
}

// drop writes empty values, which drop the keys. Progress goes last, so that an
// interrupted drop never leaves a job without its end.
func (n *Node) drop(ctx context.Context, ids []cell.JobID) {
	var jobs, progress []cell.KeyValue
	for _, id := range ids {
		jobs = append(jobs, cell.KeyValue{Key: cell.JobKey(id)}, cell.KeyValue{Key: cell.CancelKey(id)})
		progress = append(progress, cell.KeyValue{Key: cell.ProgressKey(id)})
	}
	for _, a := range []cell.Append{
		{Topic: cell.TopicJobs, Records: jobs, At: -1},
		{Topic: cell.TopicProgress, Records: progress, At: -1},
	} {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := n.store.Append(callCtx, a)
		cancel()
		if err != nil {
			n.log.Warn("ended jobs are not dropped yet", "jobs", len(ids), "error", err.Error())
			return
		}
	}
	for _, id := range ids {
		n.mirror.apply(cell.Record{Job: id, Kind: cell.RecordProgress})
	}
	n.log.Info("ended jobs are dropped", "jobs", len(ids))
}
