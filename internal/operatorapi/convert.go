package operatorapi

import (
	"time"

	"gypsumwinch/internal/configstate"
	"gypsumwinch/internal/records"
)

// ConfigOf returns the answer to GET /v1/config for the configuration state of a VM.
func ConfigOf(state *configstate.State) Config {
	current := state.Current()
	return Config{
		Version:         current.Version,
		YAML:            current.Publish.YAML,
		Who:             current.Publish.Who,
		Why:             current.Publish.Why,
		When:            current.Publish.When,
		LogVersionKnown: state.Established(),
	}
}

// HistoryOf returns the answer to GET /v1/config/history for the configuration state
// of a VM. With an id in the query, the limit is ignored. logReachable reports
// whether the VM reaches the log of configurations now.
func HistoryOf(state *configstate.State, query HistoryQuery, logReachable bool) History {
	history := History{ReadThrough: state.Next() - 1, LogReachable: logReachable, Changes: []Change{}}
	if query.ID != "" {
		if d, ok := state.Decision(query.ID); ok {
			history.Changes = append(history.Changes, ChangeOf(d))
		}
		return history
	}
	decisions := state.History()
	for i := len(decisions) - 1; i >= 0 && len(history.Changes) < query.Limit; i-- {
		history.Changes = append(history.Changes, ChangeOf(decisions[i]))
	}
	return history
}

// ChangeOf returns a decision as an entry of the history.
func ChangeOf(d configstate.Decision) Change {
	return Change{
		ID:      d.Publish.ID,
		Offset:  d.Offset,
		Status:  string(d.Status),
		Reason:  d.Reason,
		Base:    d.Publish.Base,
		Version: d.Version,
		Who:     d.Publish.Who,
		Why:     d.Publish.Why,
		When:    d.Publish.When,
		YAML:    d.Publish.YAML,
	}
}

// PublishResponseOf returns the answer to a publication for its decision. An
// undecided publication gets status PublishUnknown.
func PublishResponseOf(d configstate.Decision) PublishResponse {
	resp := PublishResponse{ID: d.Publish.ID, Status: PublishUnknown, Version: d.Version, Reason: d.Reason}
	switch d.Status {
	case configstate.Accepted:
		resp.Status = PublishAccepted
		resp.Version = d.Offset
	case configstate.Refused:
		resp.Status = PublishRefused
	default:
		resp.Reason = "this VM has not read the part of the log that decides the publication"
	}
	return resp
}

// RecordOf returns the log record for a publication. lastReadOffset is the offset of
// the last record that the VM has read. An append whose response was lost must be
// repeated with the same record.
func RecordOf(req PublishRequest, lastReadOffset int64, when time.Time) records.ConfigPublish {
	record := records.ConfigPublish{ID: req.ID, Base: req.Base, YAML: req.YAML, Who: req.Who, Why: req.Why, When: when, LastReadOffset: lastReadOffset}
	if req.Reset {
		record.Base = records.BaseReset
	}
	return record
}

// AuditOf returns the answer to GET /v1/audit for entries of the audit trail, in
// their order.
func AuditOf(entries []records.Audit) Audit {
	audit := Audit{Entries: make([]AuditEntry, len(entries))}
	for i, e := range entries {
		audit.Entries[i] = AuditEntry(e)
	}
	return audit
}
