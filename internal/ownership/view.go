package ownership

import (
	"time"

	"gypsumwinch/internal/records"
)

const (
	// baselessClaimSilence is the silence on the stream after which a claim without a
	// base is valid. The log keeps records for longer, so a reader that finds
	// none of a data centre knows that its silence has lasted this long.
	baselessClaimSilence = 30 * time.Minute
	// minInferenceAge is how long after the first kept record a heartbeat must lie to
	// show that no dropped claim is later than its term. A heartbeat is sent
	// within seconds of the last read of its sender.
	minInferenceAge = time.Minute
	// maxRetained bounds the records kept while the term in force is not known. The
	// number is above what one data centre writes in refoundAfter.
	maxRetained = 4096
)

// logView is the fold of stream "owners" for one data centre. All readers agree on
// the claim in force, also if the log has dropped the first records.
type logView struct {
	dataCentre string
	nextOffset int64
	// isClaimKnown is true if the claim in force is known.
	isClaimKnown bool
	// firstRecordTime and firstEnd are set while records are missing: the log's time
	// of the first record, and the end of the stream at the first read of it.
	firstRecordTime time.Time
	firstEndOffset  int64
	retained        []LogRecord
	// lastRecordTime is the log's time of the last record of the data centre.
	lastRecordTime time.Time

	claimOffset int64
	// claimTime is the log's time of the claim, zero if it is not known.
	claimTime   time.Time
	instance    string
	addr        string
	isReleased  bool
	hasMajority bool
}

// change tells what a record changed in a view.
type change int

const (
	unchanged change = iota
	newClaim
	ownerHeartbeat
	newRelease
)

func newLogView(dataCentre string) logView {
	return logView{dataCentre: dataCentre, isClaimKnown: true, claimOffset: records.NoTerm, firstEndOffset: -1}
}

// restart forgets everything when records before next are missing.
func (v *logView) restart(next int64, at time.Time) {
	*v = newLogView(v.dataCentre)
	v.nextOffset = next
	v.isClaimKnown = false
	v.firstRecordTime = at
}

// applyEnd notes the applyEnd of the stream. It reports whether records were missed.
func (v *logView) applyEnd(next int64) bool {
	gap := next > v.nextOffset
	if gap {
		v.restart(next, time.Time{})
	}
	if v.firstEndOffset < 0 {
		v.firstEndOffset = next
	}
	return gap
}

// apply folds a record. lost reports whether records before it were missed.
func (v *logView) apply(r LogRecord) (c change, lost bool) {
	if r.Offset < v.nextOffset {
		return unchanged, false
	}
	if r.Offset > v.nextOffset {
		v.restart(r.Offset, r.Time)
		lost = true
	}
	if v.firstRecordTime.IsZero() {
		v.firstRecordTime = r.Time
	}
	v.nextOffset = r.Offset + 1
	if !v.isForDataCentre(r.Record) {
		return unchanged, lost
	}
	if v.isClaimKnown {
		c = v.applyToKnownClaim(r)
	} else {
		c = v.inferClaim(r)
	}
	v.lastRecordTime = r.Time
	return c, lost
}

func (v *logView) isForDataCentre(r records.Record) bool {
	switch {
	case r.Claim != nil:
		return r.Claim.DataCentre == v.dataCentre
	case r.Heartbeat != nil:
		return r.Heartbeat.DataCentre == v.dataCentre
	case r.Release != nil:
		return r.Release.DataCentre == v.dataCentre
	}
	return false
}

// applyToKnownClaim applies a record when the claim in force is known.
func (v *logView) applyToKnownClaim(r LogRecord) change {
	switch rec := r.Record; {
	case rec.Claim != nil:
		silent := !v.lastRecordTime.IsZero() && r.Time.Sub(v.lastRecordTime) >= baselessClaimSilence
		if rec.Claim.Base != v.claimOffset && (rec.Claim.Base != records.NoTerm || !silent) {
			return unchanged
		}
		v.setClaim(r.Offset, r.Time, rec.Claim)
		return newClaim
	case rec.Heartbeat != nil:
		if rec.Heartbeat.Term != v.claimOffset || rec.Heartbeat.Instance != v.instance {
			return unchanged
		}
		v.hasMajority = rec.Heartbeat.Majority
		return ownerHeartbeat
	case rec.Release != nil:
		if rec.Release.Term != v.claimOffset || rec.Release.Instance != v.instance {
			return unchanged
		}
		v.isReleased = true
		return newRelease
	}
	return unchanged
}

func (v *logView) setClaim(offset int64, at time.Time, c *records.Claim) {
	v.isClaimKnown = true
	v.retained = nil
	v.claimOffset = offset
	v.claimTime = at
	v.instance = c.Instance
	v.addr = c.Addr
	v.isReleased = false
	v.hasMajority = false
}

// inferClaim finds the claim in force after the first records were dropped. A
// heartbeat shows that its claim was valid, since its sender had the whole view.
func (v *logView) inferClaim(r LogRecord) change {
	if c := r.Record.Claim; c != nil && c.Base == records.NoTerm && v.wasSilentBefore(r) {
		v.setClaim(r.Offset, r.Time, c)
		return newClaim
	}
	if len(v.retained) < maxRetained {
		v.retained = append(v.retained, r)
	}
	h := r.Record.Heartbeat
	if h == nil {
		return unchanged
	}
	kept := v.retained
	from := v.retainedClaimIndex(h.Term)
	if from < 0 && (r.Time.Sub(v.lastAmbiguousTime()) < minInferenceAge || len(kept) == maxRetained) {
		return unchanged
	}
	v.lastRecordTime = time.Time{}
	v.setClaim(h.Term, time.Time{}, &records.Claim{Instance: h.Instance})
	if from >= 0 {
		v.setClaim(h.Term, kept[from].Time, kept[from].Record.Claim)
		v.lastRecordTime = kept[from].Time
	}
	for _, later := range kept[from+1:] {
		v.applyToKnownClaim(later)
		v.lastRecordTime = later.Time
	}
	return newClaim
}

// lastAmbiguousTime returns the time of the last record after which a heartbeat of an
// earlier claim may be out of date: the first one kept, or a claim without a base
// of which it is not known whether it is valid.
func (v *logView) lastAmbiguousTime() time.Time {
	at := v.firstRecordTime
	for _, r := range v.retained {
		if r.Record.Claim != nil && r.Record.Claim.Base == records.NoTerm {
			at = r.Time
		}
	}
	return at
}

// retainedClaimIndex returns the index of the kept claim at an offset, -1 if there is none.
func (v *logView) retainedClaimIndex(offset int64) int {
	for i, r := range v.retained {
		if r.Offset == offset && r.Record.Claim != nil {
			return i
		}
	}
	return -1
}

// wasSilentBefore reports whether the data centre certainly wrote nothing for
// refoundAfter before a record. Dropped records are that old for any record that
// was written after the first read of the whole stream.
func (v *logView) wasSilentBefore(r LogRecord) bool {
	if !v.lastRecordTime.IsZero() {
		return r.Time.Sub(v.lastRecordTime) >= baselessClaimSilence
	}
	if v.firstEndOffset >= 0 && r.Offset >= v.firstEndOffset {
		return true
	}
	return r.Time.Sub(v.firstRecordTime) >= baselessClaimSilence
}
