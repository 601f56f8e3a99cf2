// Package audit derives the entries of the audit trail from configuration
// changes and folds the stream that holds them.
package audit

import (
	"slices"

	"gypsumwinch/internal/configstate"
	"gypsumwinch/internal/records"
)

// WhatConfig is the kind of an entry about a configuration change.
const WhatConfig = "config publish"

// Entries returns the audit records for the decisions of an effect. Undecided
// publications have none: the VM that decided them wrote it.
func Entries(effect configstate.Effect) []records.Record {
	var out []records.Record
	for _, d := range effect.Decisions {
		if d.Status == configstate.Undecided {
			continue
		}
		out = append(out, records.Record{Audit: entry(d)})
	}
	return out
}

func entry(d configstate.Decision) *records.Audit {
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

// MaxEntries bounds the entries kept in memory. With configurations of 7 KB (67
// teams), they take about 10 MB.
const MaxEntries = 1024

// maxIDs bounds the ids kept to tell which entries are on the log. At 3,200
// changes per day, they last for 20 days, longer than the log keeps them.
const maxIDs = 64 * 1024

// Trail is the fold of the audit stream. It is not safe for concurrent use.
type Trail struct {
	next int64
	// ids tells for each change whether its entry says accepted.
	ids map[string]bool
	// order holds the ids from the oldest on.
	order []string
	// entries holds the newest entries from the oldest on.
	entries []records.Audit
}

// New returns an empty trail.
func New() *Trail {
	return &Trail{ids: map[string]bool{}}
}

// Apply folds one record and reports whether it added an entry. Several VMs
// write the same entry; the first one counts, unless a later one tells that the
// change was accepted.
func (t *Trail) Apply(offset int64, rec records.Record) bool {
	if offset < t.next {
		return false
	}
	t.next = offset + 1
	if rec.Audit == nil || t.Has(rec.Audit.ID, rec.Audit.Accepted) {
		return false
	}
	t.add(*rec.Audit)
	return true
}

func (t *Trail) add(entry records.Audit) {
	if _, ok := t.ids[entry.ID]; ok {
		t.entries = slices.DeleteFunc(t.entries, func(e records.Audit) bool { return e.ID == entry.ID })
	} else {
		t.order = append(t.order, entry.ID)
	}
	t.ids[entry.ID] = entry.Accepted
	if n := len(t.entries); n > 0 && t.entries[n-1].After == entry.Before {
		entry.Before = t.entries[n-1].After // share the memory
	}
	t.entries = append(t.entries, entry)
	t.trim()
}

// trim drops the oldest entries and ids when there are twice as many as needed.
func (t *Trail) trim() {
	if len(t.entries) >= 2*MaxEntries {
		t.entries = slices.Clone(t.entries[len(t.entries)-MaxEntries:])
	}
	if len(t.order) < 2*maxIDs {
		return
	}
	drop := len(t.order) - maxIDs
	for _, id := range t.order[:drop] {
		delete(t.ids, id)
	}
	t.order = slices.Clone(t.order[drop:])
}

// Next returns the offset of the next record to read.
func (t *Trail) Next() int64 {
	return t.next
}

// Has reports whether the trail holds an entry for a change, so that it need
// not be written again.
func (t *Trail) Has(id string, accepted bool) bool {
	was, ok := t.ids[id]
	return ok && (was || !accepted)
}

// Missing returns those of the given records that the trail does not hold.
func (t *Trail) Missing(recs []records.Record) []records.Record {
	var out []records.Record
	for _, rec := range recs {
		if rec.Audit != nil && !t.Has(rec.Audit.ID, rec.Audit.Accepted) {
			out = append(out, rec)
		}
	}
	return out
}

// Newest returns up to max entries, newest first.
func (t *Trail) Newest(max int) []records.Audit {
	newest := slices.Clone(t.entries[len(t.entries)-min(max, len(t.entries)):])
	slices.Reverse(newest)
	return newest
}
