package ownership

import (
	"time"

	"gypsumwinch/internal/records"
)

const (
	// baselessClaimSilence is the time without a record of the data centre
	// after which a claim without a base is valid. The log retains records for
	// longer, so a reader that finds none of a data centre knows that the
	// silence has lasted this long.
	baselessClaimSilence = 30 * time.Minute
	// minInferenceAge is the time between the first record that the log
	// retains and a heartbeat after which the heartbeat proves that no dropped
	// claim is later than its term. A heartbeat is sent within seconds of the
	// last read of its sender.
	minInferenceAge = time.Minute
	// maxRetained bounds the records retained while the claim in force is not
	// known. It exceeds the number that one data centre writes in
	// baselessClaimSilence.
	maxRetained = 4096
)

// logView is the ownership of one data centre that results from the records
// of stream "owners". All readers agree on the claim in force, even if the
// log has dropped the first records.
type logView struct {
	dataCentre string
	nextOffset int64
	// isClaimKnown is false while the claim in force cannot be determined
	// because records are missing.
	isClaimKnown bool
	// firstRecordTime and firstEndOffset are used while records are missing:
	// the log's timestamp of the first record, and the end of the stream at
	// the first read that reached it, -1 before. retained contains the records
	// since then.
	firstRecordTime time.Time
	firstEndOffset  int64
	retained        []LogRecord
	// lastRecordTime is the log's timestamp of the last record of the data
	// centre.
	lastRecordTime time.Time

	claimOffset int64
	// claimTime is the log's timestamp of the claim, zero if it is not known.
	claimTime   time.Time
	instance    string
	addr        string
	isReleased  bool
	hasMajority bool
}

// change is the effect of a record on a logView.
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

// restart clears the state when records before next are missing. at is the
// timestamp of the record at next, zero if it is not known.
func (v *logView) restart(next int64, at time.Time) {
	*v = newLogView(v.dataCentre)
	v.nextOffset = next
	v.isClaimKnown = false
	v.firstRecordTime = at
}

// applyEnd handles a read that reached the end of the stream at next. It
// reports whether records were missed.
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

// apply handles a record. missed reports whether records before it were
// missed.
func (v *logView) apply(r LogRecord) (c change, missed bool) {
	if r.Offset < v.nextOffset {
		return unchanged, false
	}
	if r.Offset > v.nextOffset {
		v.restart(r.Offset, r.Time)
		missed = true
	}
	if v.firstRecordTime.IsZero() {
		v.firstRecordTime = r.Time
	}
	v.nextOffset = r.Offset + 1
	if !v.isForDataCentre(r.Record) {
		return unchanged, missed
	}
	if v.isClaimKnown {
		c = v.applyToKnownClaim(r)
	} else {
		c = v.inferClaim(r)
	}
	v.lastRecordTime = r.Time
	return c, missed
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

// applyToKnownClaim handles a record when the claim in force is known.
func (v *logView) applyToKnownClaim(r LogRecord) change {
	switch rec := r.Record; {
	case rec.Claim != nil:
		wasSilent := !v.lastRecordTime.IsZero() && r.Time.Sub(v.lastRecordTime) >= baselessClaimSilence
		if rec.Claim.Base != v.claimOffset && (rec.Claim.Base != records.NoTerm || !wasSilent) {
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
// heartbeat proves that its claim was valid, since its sender had read the
// whole stream.
func (v *logView) inferClaim(r LogRecord) change {
	if c := r.Record.Claim; c != nil && c.Base == records.NoTerm && v.wasSilentBefore(r) {
		v.setClaim(r.Offset, r.Time, c)
		return newClaim
	}
	if len(v.retained) < maxRetained {
		v.retained = append(v.retained, r)
	}
	heartbeat := r.Record.Heartbeat
	if heartbeat == nil {
		return unchanged
	}
	retained := v.retained
	claimIndex := v.retainedClaimIndex(heartbeat.Term)
	if claimIndex < 0 && (r.Time.Sub(v.lastAmbiguousTime()) < minInferenceAge || len(retained) == maxRetained) {
		return unchanged
	}
	v.lastRecordTime = time.Time{}
	v.setClaim(heartbeat.Term, time.Time{}, &records.Claim{Instance: heartbeat.Instance})
	if claimIndex >= 0 {
		v.setClaim(heartbeat.Term, retained[claimIndex].Time, retained[claimIndex].Record.Claim)
		v.lastRecordTime = retained[claimIndex].Time
	}
	for _, later := range retained[claimIndex+1:] {
		v.applyToKnownClaim(later)
		v.lastRecordTime = later.Time
	}
	return newClaim
}

// lastAmbiguousTime returns the time of the last record after which a
// heartbeat of an earlier claim may be outdated: the first record, or a
// retained claim without a base that may or may not be valid.
func (v *logView) lastAmbiguousTime() time.Time {
	at := v.firstRecordTime
	for _, r := range v.retained {
		if r.Record.Claim != nil && r.Record.Claim.Base == records.NoTerm {
			at = r.Time
		}
	}
	return at
}

// retainedClaimIndex returns the index of the retained claim at an offset, -1
// if there is none.
func (v *logView) retainedClaimIndex(offset int64) int {
	for i, r := range v.retained {
		if r.Offset == offset && r.Record.Claim != nil {
			return i
		}
	}
	return -1
}

// wasSilentBefore reports whether the data centre certainly wrote nothing for
// baselessClaimSilence before a record. For a record written after the first
// read that reached the end of the stream, dropped records are at least that
// old.
func (v *logView) wasSilentBefore(r LogRecord) bool {
	if !v.lastRecordTime.IsZero() {
		return r.Time.Sub(v.lastRecordTime) >= baselessClaimSilence
	}
	if v.firstEndOffset >= 0 && r.Offset >= v.firstEndOffset {
		return true
	}
	return r.Time.Sub(v.firstRecordTime) >= baselessClaimSilence
}
