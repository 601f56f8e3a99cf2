package election

import (
	"time"
)

// LeaseBound is the latest time at which the lease of a worker that does not answer the
// owner may end.
type LeaseBound struct {
	Worker string
	// Born is the start time of the worker's incarnation, in Unix milliseconds.
	Born int64
	// End is on the clock of Options.Now.
	End time.Duration
}

// Leases is what a heartbeat records about leases: no owner up to its sender extends
// those of the named workers beyond the bounds while this is the newest record. The sender
// extends them again only after the store has accepted a record that does not name the
// worker; the claim of a successor names none.
type Leases struct {
	Workers []RecordedLease `json:"w,omitempty"`
}

// RecordedLease is a LeaseBound relative to when its record was sent.
type RecordedLease struct {
	Worker      string `json:"i"`
	Born        int64  `json:"b,omitempty"`
	RemainingMS int64  `json:"m"`
}

// bounds returns the bounds of a record that was in the store already at a time.
func (l *Leases) bounds(knownAt time.Duration) []LeaseBound {
	var out []LeaseBound
	for _, w := range l.Workers {
		if w.Worker != "" && w.RemainingMS > 0 {
			out = append(out, LeaseBound{Worker: w.Worker, Born: w.Born, End: knownAt + time.Duration(w.RemainingMS)*time.Millisecond})
		}
	}
	return out
}

// leases returns the Leases of a record that is sent now, and the version if they are
// those of Options.Leases. Before the caller knows its leases, those of the former owner are
// repeated, so that they outlive an owner that ends in its takeover. writeHeartbeat and
// Resign call it.
func (e *Election) leases() (*Leases, int64) {
	var bounds []LeaseBound
	var version int64
	if e.opts.Leases != nil {
		bounds, version = e.opts.Leases()
	}
	if version == 0 {
		former := e.formerLeases.Load()
		if former == nil {
			return nil, 0
		}
		bounds = *former
	}
	now := e.opts.Now()
	out := &Leases{}
	for _, b := range bounds {
		out.Workers = append(out.Workers, RecordedLease{Worker: b.Worker, Born: b.Born, RemainingMS: max(0, (b.End-now).Milliseconds()) + 1})
	}
	return out, version
}

// lastRecordKnownAt returns a time at which the newest record of the topic was in the store
// already: when the owner's last status about it was received, else now. claim calls it.
func (e *Election) lastRecordKnownAt() time.Duration {
	now := e.opts.Now()
	if status := e.lastOwnerStatus(); status.HeartbeatOffset >= e.nextOffset && status.HeartbeatOffset > 0 {
		return now - status.Age
	}
	return now
}
