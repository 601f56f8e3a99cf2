// Package requestlog decides, from the records of stream "requests", which
// instance may send a non-idempotent request, so that the request runs at most
// once. It reads no clock and does no input or output: what a record changes
// depends only on the records and their times on the log, so that all readers
// agree on who may send a request. It neither sends requests nor stores their
// answers. Read Log first, then Effect and Verdict.
package requestlog

import (
	"container/heap"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

const (
	// MaxIDLead is how far the time in an id may lie ahead of a clock. Ids of
	// later times would stay within the window, and so in memory, for longer.
	MaxIDLead = time.Minute
	// maxAppendDelay is how long a start may take from the check of its id until
	// it is on the log, including the differences between clocks. A start that
	// takes longer gives no right to send, since an earlier start of the id may
	// have been removed from memory.
	maxAppendDelay = time.Minute
)

// Retention returns how long the log must retain records, so that a reader which
// begins at the first retained record agrees with all others: the first start of
// an id may lie MaxIDLead and maxAppendDelay before its creation, the last that
// could win lies window and maxAppendDelay after it, and a reader may begin
// maxAppendDelay after that.
func Retention(window time.Duration) time.Duration {
	return window + MaxIDLead + 3*maxAppendDelay
}

// Verdict is the result of Check: whether a start of an id may be written, and if
// not, why.
type Verdict int

// The verdicts about an id.
const (
	// Fresh means that a start may be written: none is known, or the last one
	// ended as not run.
	Fresh Verdict = iota
	// Started means that an instance holds the right to send or has sent, or that
	// maxNotRunStarts starts ended as not run.
	Started
	// TooOld means that the id lies before the window. The caller reports
	// the outcome as unknown.
	TooOld
	// TooNew means that the time in the id is too far ahead. The caller
	// reports the request as not run.
	TooNew
	// Malformed means that the id is no ULID. The caller reports the
	// request as not run.
	Malformed
	// NotReady means that the stream was not read over the whole window. The
	// caller reports the request as not run.
	NotReady
)

// Entry is what the log holds about an id.
type Entry struct {
	// Instance holds the right to send, given by its start with Number.
	Instance string
	Number   int64
	// Offset is the offset of its start record.
	Offset int64
	// Status is the outcome of that start, empty if none is known.
	Status structs.Status
	// notRunStarts holds the starts that ended as not run. Copies of them that
	// come later on the log give no right to send.
	notRunStarts []startKey
}

// startKey identifies a start of an id.
type startKey struct {
	instance string
	number   int64
}

// Effect is what Apply changed for a record.
type Effect struct {
	ID string
	// Won is true for a start record that gives Instance the right to send. It
	// is false for a later start of the id, unless the former one ended as not
	// run, and for an id that is malformed or too far from the log's time.
	Won      bool
	Instance string
	Number   int64
	// Status is the outcome that an outcome record set. It is empty if the
	// record is not from the start that holds the right to send, or if that
	// start already had an outcome.
	Status structs.Status
}

// Log is the state built from the records of the stream. It is not safe for
// concurrent use.
type Log struct {
	window   time.Duration
	entries  map[ulid.ULID]*Entry
	idsByAge idHeap
	// latestTime is the latest log time of all applied records. It never
	// decreases, since it determines which ids are removed from memory.
	latestTime time.Time
	nextOffset int64
	ready      bool
}

// New returns an empty Log for ids that are at most window old. The stream must
// retain records for Retention(window).
func New(window time.Duration) *Log {
	return &Log{window: window, entries: map[ulid.ULID]*Entry{}}
}

// Apply applies the record at an offset of the stream; at is the log's time of
// the record. Records that were applied before change nothing, and so do records
// that are neither a start nor an outcome.
func (l *Log) Apply(offset int64, at time.Time, record records.Record) Effect {
	if offset < l.nextOffset {
		return Effect{}
	}
	l.nextOffset = offset + 1
	if at.After(l.latestTime) {
		l.latestTime = at
	}
	l.prune()
	switch {
	case record.RequestStart != nil:
		return l.applyStart(offset, record.RequestStart)
	case record.RequestOutcome != nil:
		return l.applyOutcome(record.RequestOutcome)
	}
	return Effect{}
}

// applyStart applies a start record. It gives the right to send if the id is not
// in memory and its time is near enough to the log's time, or by restart.
func (l *Log) applyStart(offset int64, r *records.RequestStart) Effect {
	effect := Effect{ID: r.ID, Instance: r.Instance, Number: r.Number}
	id, err := ulid.ParseStrict(r.ID)
	if err != nil {
		return effect
	}
	if e := l.entries[id]; e != nil {
		effect.Won = e.restart(offset, startKey{r.Instance, r.Number})
		return effect
	}
	created := ulid.Time(id.Time())
	if l.latestTime.Sub(created) > l.window+maxAppendDelay || created.Sub(l.latestTime) > MaxIDLead+maxAppendDelay {
		return effect
	}
	l.entries[id] = &Entry{Instance: r.Instance, Number: r.Number, Offset: offset}
	heap.Push(&l.idsByAge, id)
	effect.Won = true
	return effect
}

// maxNotRunStarts bounds the starts of one id that ended as not run. After that
// many, no start of the id gives the right to send.
const maxNotRunStarts = 64

// restart gives the right to send to a later start of an id if the former one
// ended as not run, and reports whether it did. A copy of a start that ended as
// not run gets no right.
func (e *Entry) restart(offset int64, key startKey) bool {
	if e.Status != structs.StatusNotRun || len(e.notRunStarts) >= maxNotRunStarts || slices.Contains(e.notRunStarts, key) {
		return false
	}
	e.Instance, e.Number, e.Offset, e.Status = key.instance, key.number, offset, ""
	return true
}

// applyOutcome applies an outcome record. Only the first outcome of the start
// that holds the right to send counts.
func (l *Log) applyOutcome(r *records.RequestOutcome) Effect {
	id, err := ulid.ParseStrict(r.ID)
	e := l.entries[id]
	if err != nil || e == nil || e.Instance != r.Instance || e.Number != r.Number || e.Status != "" {
		return Effect{ID: r.ID}
	}
	e.Status = r.Status
	if r.Status == structs.StatusNotRun {
		e.notRunStarts = append(e.notRunStarts, startKey{r.Instance, r.Number})
	}
	return Effect{ID: r.ID, Instance: r.Instance, Number: r.Number, Status: r.Status}
}

// prune removes the ids for which any further start is too late. It uses the same
// limit as applyStart, so that a removed id cannot get the right to send again.
// Apply calls it for each new record.
func (l *Log) prune() {
	for len(l.idsByAge) > 0 {
		oldest := l.idsByAge[0]
		if l.latestTime.Sub(ulid.Time(oldest.Time())) <= l.window+maxAppendDelay {
			return
		}
		heap.Pop(&l.idsByAge)
		delete(l.entries, oldest)
	}
}

// ReadEnd marks the log as ready. The caller calls it when a read that began at
// the first retained record, or at Next, has reached the end of the stream.
func (l *Log) ReadEnd() { l.ready = true }

// Ready reports whether the stream was read over the whole window.
func (l *Log) Ready() bool { return l.ready }

// Next returns the offset after the last applied record.
func (l *Log) Next() int64 { return l.nextOffset }

// Len returns the number of ids in memory.
func (l *Log) Len() int { return len(l.entries) }

// Check returns the verdict about an id at the wall clock time now, and the entry
// of the id if the verdict is Started. Fresh allows the caller to write a start;
// only the effect of that start, read back from the log, allows it to send.
func (l *Log) Check(id string, now time.Time) (Verdict, Entry) {
	parsed, err := ulid.ParseStrict(id)
	if err != nil {
		return Malformed, Entry{}
	}
	created := ulid.Time(parsed.Time())
	if e := l.entries[parsed]; e != nil && (e.Status != structs.StatusNotRun || len(e.notRunStarts) >= maxNotRunStarts) {
		return Started, *e
	}
	switch {
	case now.Sub(created) > l.window:
		return TooOld, Entry{}
	case created.Sub(now) > MaxIDLead:
		return TooNew, Entry{}
	case !l.ready:
		return NotReady, Entry{}
	}
	return Fresh, Entry{}
}

// Known returns the entry of an id, and whether there is one.
func (l *Log) Known(id string) (Entry, bool) {
	parsed, err := ulid.ParseStrict(id)
	if e := l.entries[parsed]; err == nil && e != nil {
		return *e, true
	}
	return Entry{}, false
}

// idHeap is a heap of ids, the oldest first. It implements heap.Interface.
type idHeap []ulid.ULID

func (h idHeap) Len() int           { return len(h) }
func (h idHeap) Less(i, j int) bool { return h[i].Time() < h[j].Time() }
func (h idHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *idHeap) Push(x any)        { *h = append(*h, x.(ulid.ULID)) }

// Pop removes and returns the last element, as heap.Interface demands.
func (h *idHeap) Pop() any {
	old := *h
	id := old[len(old)-1]
	*h = old[:len(old)-1]
	return id
}
