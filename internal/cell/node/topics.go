package node

import (
	"context"
	"time"

	"gypsumwinch/internal/cell"
)

// newTopicReader returns a reader of one topic that passes the records of each
// read to apply. New creates the readers of jobs, progress and the
// configuration; pollWorkers creates one for the workers' entries in each term
// of this VM.
func (n *Node) newTopicReader(topic cell.Topic, apply func([]cell.KeyValue)) *topicReader {
	return &topicReader{store: n.store, topic: topic, apply: apply, wakeup: make(chan struct{}, 1), metrics: n.metrics, now: bootTime, log: func(message string, details ...any) {
		n.log.Info(message, details...)
	}}
}

// configReadInterval is the period at which the configuration is read. A new
// version must be in force after 2 s; the owner's answers to hello messages
// report it sooner.
const configReadInterval = 800 * time.Millisecond

// pollConfig reads the configuration until ctx ends. It is the topic reader of
// the configuration on every VM, on a goroutine that Run starts.
func (n *Node) pollConfig(ctx context.Context) {
	n.configReader.poll(ctx, func() time.Duration { return 0 }, func() time.Duration { return configReadInterval })
}

// pollJobs reads topic jobs until ctx ends, on a goroutine that Run starts. A
// VM that is no follower begins when it first owns the cell. The other VMs
// notify the owner of submissions; if it reads some without a notification,
// its reads wait at the store for new records for a while.
func (n *Node) pollJobs(ctx context.Context) {
	for !isFollower(n.settings) && n.activeLoop() == nil && ctx.Err() == nil {
		// Reads nothing, but keeps track of whether the store answers.
		n.trackStoreReads(ctx)
	}
	hasUnnotified := func() bool { return bootTime()-time.Duration(n.unnotifiedAt.Load()) < unnotifiedTTL }
	wait := func() time.Duration {
		if n.activeLoop() != nil && hasUnnotified() {
			return ownerReadWait
		}
		return 0
	}
	interval := func() time.Duration {
		if n.activeLoop() != nil {
			return ownerReadInterval
		}
		return followerReadInterval
	}
	n.jobsReader.poll(ctx, wait, interval)
}

// trackStoreReads takes the time of the last read of the configuration, or of the last data that
// arrived for one, as the time of the last read of the jobs, because a VM that is no
// follower reads only the configuration. pollJobs calls it every ownerReadInterval until such
// a VM first owns the cell.
func (n *Node) trackStoreReads(ctx context.Context) {
	n.jobsReader.lastReadAt.Store(max(n.configReader.lastReadAt.Load(), n.storeRouter.configArrivedAt.Load()))
	sleep(ctx, ownerReadInterval)
}

// pollProgress reads topic progress on followers until ctx ends, on a
// goroutine that Run starts. The owner does not read it because it writes the
// records itself.
func (n *Node) pollProgress(ctx context.Context) {
	for ctx.Err() == nil {
		if n.activeLoop() != nil || !isFollower(n.settings) {
			sleep(ctx, ownerReadInterval)
			continue
		}
		_, err := n.progressReader.read(ctx, 0)
		n.progressReader.logFailureChange(err)
		sleep(ctx, followerReadInterval)
	}
}

// applyConfigRecords puts a newer configuration into force. The version never
// decreases. The topic reader of the configuration calls it after each read,
// on the goroutine of pollConfig.
func (n *Node) applyConfigRecords(records []cell.KeyValue) {
	for _, r := range records {
		config, ok, err := n.decoder.Config(r.Key, r.Value)
		if err != nil {
			n.log.Error("configuration cannot be read", "key", r.Key, "error", err.Error())
			continue
		}
		if !ok {
			continue
		}
		if old := n.config.Load(); old != nil && config.Version <= old.Version {
			continue
		}
		n.config.Store(config)
		n.configLag.putInForce(config.Version)
		n.sharedConfig.record.Store(&r)
		n.customerMetrics.keepOnly(config.Customers)
		n.log.Info("configuration is in force", "version", config.Version, "queues", len(config.Queues), "customers", customerCount(config))
	}
}

// applyReadJobRecords applies records of topic jobs that were read from the
// store. The topic reader of jobs calls it after each read, on the goroutine
// of pollJobs or, during a takeover, on that of campaign.
func (n *Node) applyReadJobRecords(records []cell.KeyValue) {
	if n.applyJobRecords(records) && n.activeLoop() != nil {
		n.unnotifiedAt.Store(int64(bootTime()))
	}
}

// applyJobRecords applies submissions and cancellations to the replica and
// reports whether any of them is new. If this VM owns the cell, new ones go to
// the control loop. It runs after a read of topic jobs, after this VM has
// appended the records of a caller, and in the RPCs Submit and Notify, each on
// the goroutine of that read or request.
func (n *Node) applyJobRecords(records []cell.KeyValue) (hasNew bool) {
	for _, kv := range records {
		r, err := cell.ParseRecord(kv.Key, kv.Value)
		if err != nil {
			n.log.Error("record of a job cannot be read", "error", err.Error())
			continue
		}
		applied := n.replica.apply(r)
		hasNew = hasNew || applied.isNew
		// A new owner sets its control loop before it reads the replica, so each
		// record is either in the replica by then or posted to the loop.
		if c := n.activeLoop(); c != nil && applied.isNew {
			c.postRecord(r, n.log)
			if r.Kind == cell.RecordJob && n.replica.isCancelled(r.Job) {
				// The state machine ignored the cancellation while it did not know the job.
				c.postRecord(cell.Record{Job: r.Job, Kind: cell.RecordCancel}, n.log)
			}
		} else if c != nil && applied.original != nil {
			go n.restoreSubmission(cell.KeyValue{Key: kv.Key, Value: applied.original})
		}
	}
	return hasNew
}

// applyProgressRecords applies records of topic progress to the replica. The
// topic reader of progress calls it after each read, on the goroutine of
// pollProgress or, during a takeover, on that of campaign.
func (n *Node) applyProgressRecords(records []cell.KeyValue) {
	for _, kv := range records {
		r, err := cell.ParseRecord(kv.Key, kv.Value)
		if err != nil {
			n.log.Error("record of progress cannot be read", "error", err.Error())
			continue
		}
		n.replica.apply(r)
	}
}
