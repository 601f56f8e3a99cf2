// Package audit derives audit entries from the decisions about configuration
// changes, and holds the trail of entries that were read from the audit stream.
// It does no input or output: the caller reads and appends the records. Read
// Trail first.
package audit

import (
	"slices"

	"gypsumwinch/internal/configstate"
	"gypsumwinch/internal/records"
)

// WhatConfig is the value of records.Audit.What for a configuration change.
const WhatConfig = "config publish"

// Entries returns the audit records for the decisions of an effect. The daemon
// calls it for each effect on its configuration state. An undecided
// publication yields no record: a VM that could decide it writes the record.
func Entries(effect configstate.Effect) []records.Record {
	var out []records.Record
	for _, d := range effect.Decisions {
		if d.Status == configstate.Undecided {
			continue
		}
		out = append(out, records.Record{Audit: newEntry(d)})
	}
	return out
}

// newEntry returns the audit entry for a decision that accepts or refuses a
// publication.
func newEntry(d configstate.Decision) *records.Audit {
	return &records.Audit{
		ID:       d.Publish.ID,
		Who:      d.Publish.Who,
		When:     d.Publish.When,
		Why:      d.Publish.Why,
		What:     WhatConfig,
		Accepted: d.Status == configstate.Accepted,
		Reason:   d.Reason,
		Version:  d.Version,
		Before:   d.PreviousYAML,
		After:    d.Publish.YAML,
	}
}

// MaxEntries is the number of newest entries that a Trail retains when it drops
// old ones, which it does at twice as many. With configurations of 7 KB (67
// teams), the entries take about 10 MB of memory.
const MaxEntries = 1024

// maxIDs is the number of change ids that a Trail retains when it drops old ones,
// which it does at twice as many. They show which entries are on the log. At 3,200 changes per day, that covers 20 days, which is
// longer than the log retains the entries.
const maxIDs = 64 * 1024

// Trail is the state built from the records of the audit stream: the newest
// entries and the ids of all recent changes. It is not safe for concurrent use.
type Trail struct {
	nextOffset int64
	// acceptedByID holds for each change whether its entry says accepted.
	acceptedByID map[string]bool
	// idsByAge holds the keys of acceptedByID, oldest first.
	idsByAge []string
	// entries holds the newest entries, oldest first.
	entries []records.Audit
}

// New returns an empty trail, to be filled by Apply.
func New() *Trail {
	return &Trail{acceptedByID: map[string]bool{}}
}

// Apply adds the record at an offset of the audit stream and reports whether it
// added an entry. It ignores offsets that were applied before. Several VMs may
// write an entry for the same change; the first one counts, unless a later one
// says that the change was accepted.
func (t *Trail) Apply(offset int64, rec records.Record) bool {
	if offset < t.nextOffset {
		return false
	}
	t.nextOffset = offset + 1
	if rec.Audit == nil || t.Has(rec.Audit.ID, rec.Audit.Accepted) {
		return false
	}
	t.add(*rec.Audit)
	return true
}

// add appends an entry for Apply. It replaces an earlier entry that says that the
// change was refused.
func (t *Trail) add(entry records.Audit) {
	if _, ok := t.acceptedByID[entry.ID]; ok {
		t.entries = slices.DeleteFunc(t.entries, func(e records.Audit) bool { return e.ID == entry.ID })
	} else {
		t.idsByAge = append(t.idsByAge, entry.ID)
	}
	t.acceptedByID[entry.ID] = entry.Accepted
	if n := len(t.entries); n > 0 && t.entries[n-1].After == entry.Before {
		entry.Before = t.entries[n-1].After // both entries share the memory of the text
	}
	t.entries = append(t.entries, entry)
	t.trim()
}

// trim drops the oldest entries and ids when there are twice as many as are
// retained, so that the cost of copying is spread over many calls of add.
func (t *Trail) trim() {
	if len(t.entries) >= 2*MaxEntries {
		t.entries = slices.Clone(t.entries[len(t.entries)-MaxEntries:])
	}
	if len(t.idsByAge) < 2*maxIDs {
		return
	}
	drop := len(t.idsByAge) - maxIDs
	for _, id := range t.idsByAge[:drop] {
		delete(t.acceptedByID, id)
	}
	t.idsByAge = slices.Clone(t.idsByAge[drop:])
}

// Next returns the offset after the last applied record.
func (t *Trail) Next() int64 {
	return t.nextOffset
}

// Has reports whether the trail holds an entry for a change, so that it need
// not be written again. An entry that says that the change was refused does not
// suffice if accepted is true.
func (t *Trail) Has(id string, accepted bool) bool {
	wasAccepted, ok := t.acceptedByID[id]
	return ok && (wasAccepted || !accepted)
}

// Missing returns those of the given records whose audit entry the trail does not
// hold. Records of other kinds are left out.
func (t *Trail) Missing(recs []records.Record) []records.Record {
	var out []records.Record
	for _, rec := range recs {
		if rec.Audit != nil && !t.Has(rec.Audit.ID, rec.Audit.Accepted) {
			out = append(out, rec)
		}
	}
	return out
}

// Newest returns a copy of up to limit entries, newest first.
func (t *Trail) Newest(limit int) []records.Audit {
	newest := slices.Clone(t.entries[len(t.entries)-min(limit, len(t.entries)):])
	slices.Reverse(newest)
	return newest
}
