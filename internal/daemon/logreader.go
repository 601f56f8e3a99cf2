package daemon

import (
	"context"
	"time"

	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/records"
)

const (
	// ownersReadWait is how long a read of stream "owners" waits on the log for
	// a record. It must stay well below the period for which a successful read
	// extends an owner's authority.
	ownersReadWait = time.Second
	// readWait is how long a read of any other stream waits. Longer waits cost
	// fewer requests, and a new record ends the wait at once.
	readWait = 5 * time.Second
	// readTimeout bounds a read in addition to its wait.
	readTimeout = 2 * time.Second
	// readRetryInterval is the pause after a failed read.
	readRetryInterval = 250 * time.Millisecond
	// maxReadEntries is the maximum number of entries in one read of small
	// records.
	maxReadEntries = 2000
	// maxLargeReadEntries is the maximum for streams whose records contain
	// configurations of up to 512 KiB each, more when escaped. The client
	// accepts responses of up to 64 MiB.
	maxLargeReadEntries = 50
)

// logEntry is a decoded record with its offset and the time at which the log
// stored it.
type logEntry struct {
	offset   int64
	storedAt time.Time
	record   records.Record
}

// logBatch is the event of a successful read.
type logBatch struct {
	stream  string
	entries []logEntry
	// next is the offset after the last record read.
	next int64
	// atEnd is true if the read reached the end of the stream.
	atEnd bool
	// sentAt is when the read was sent, on the daemon's clock.
	sentAt time.Duration
}

// logReadFailed is the event of a failed read.
type logReadFailed struct {
	stream string
	err    error
}

// readStream reads a stream from its first retained record and posts what it
// reads, until ctx ends. It is the reader goroutine of one stream, which
// startLoops starts with the daemon.
func (d *Daemon) readStream(ctx context.Context, stream string) {
	var offset int64
	// The limit is halved while reads fail, since a read of large records may
	// exceed the client's size limit or time out.
	limit := maxEntriesOf(stream)
	// The first reads do not wait for new records, so that a new VM soon knows
	// that it has reached the end.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		sent := d.now()
		entries, next, atEnd, interrupted, err := d.readOnce(ctx, stream, offset, limit, wait)
		if interrupted {
			wait = 0
			continue
		}
		if err != nil {
			limit = max(1, limit/2)
			d.post(ctx, logReadFailed{stream: stream, err: err})
			sleep(ctx, readRetryInterval)
			continue
		}
		offset = next
		limit = min(maxEntriesOf(stream), 2*limit)
		if atEnd {
			wait = readWaitOf(stream)
		}
		d.post(ctx, logBatch{stream: stream, entries: d.decode(stream, entries), next: next, atEnd: atEnd, sentAt: sent})
	}
}

// readWaitOf returns how long a read of the stream waits on the log for a new
// record. readStream calls it once it has reached the end of the stream.
func readWaitOf(stream string) time.Duration {
	if stream == records.StreamOwners {
		return ownersReadWait
	}
	return readWait
}

// maxEntriesOf returns the maximum number of entries in one read of the stream.
// readStream calls it at its start and after each successful read.
func maxEntriesOf(stream string) int {
	if stream == records.StreamConfig || stream == records.StreamAudit {
		return maxLargeReadEntries
	}
	return maxReadEntries
}

// readOnce sends one read. interrupted is true if the read was cancelled by
// wakeReader. readStream calls it for each read, on the reader's goroutine.
func (d *Daemon) readOnce(ctx context.Context, stream string, offset int64, limit int, wait time.Duration) (entries []platform.Entry, next int64, atEnd, interrupted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	done := make(chan struct{})
	wasInterrupted := make(chan bool, 1)
	go func() {
		select {
		case <-d.readerWakeups[stream]:
			cancel()
			wasInterrupted <- true
		case <-done:
			wasInterrupted <- false
		}
	}()
	d.metrics.countMessage("log read")
	entries, next, atEnd, err = d.log.Read(ctx, stream, offset, limit, wait)
	close(done)
	if <-wasInterrupted && err != nil {
		return nil, 0, false, true, nil
	}
	return entries, next, atEnd, false, err
}

// wakeReader makes the reader of a stream send a read at once, so that the
// records that are on the log now are read soon. The control loop calls it for
// the jobs stream when this VM becomes the owner, which must know all jobs
// before it schedules.
func (d *Daemon) wakeReader(stream string) {
	select {
	case d.readerWakeups[stream] <- struct{}{}:
	default:
	}
}

// decode decodes the entries of a read. An entry that cannot be parsed becomes
// an empty record, because a missing offset would look like records that the
// log has dropped. readStream calls it on the reader's goroutine for each
// successful read.
func (d *Daemon) decode(stream string, entries []platform.Entry) []logEntry {
	decoded := make([]logEntry, 0, len(entries))
	for _, e := range entries {
		r, err := records.Decode(e.Data)
		if err != nil {
			d.logger.Warn("failed to parse a log record", "stream", stream, "offset", e.Offset, "error", err)
		}
		decoded = append(decoded, logEntry{offset: e.Offset, storedAt: e.Time, record: r})
	}
	return decoded
}

// sleep waits for d or until ctx ends. The goroutines of the readers, the
// writers, the VM list and the drain call it, never the control loop.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
