package ownership

import (
	"time"

	"gypsumwinch/internal/records"
)

const (
	// baselessClaimSilence is the time without a record of the data centre
	// after which a claim without a base is valid, whichever claim was in
	// force before. Such a claim has the base records.NoTerm: its writer
	// knew of no claim, since there was none or the log had dropped it. The
	// log retains records for longer, so a reader that finds none of a data
	// centre knows that the silence has lasted this long.
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

// newLogView returns the view of an empty log.
func newLogView(dataCentre string) logView {
	return logView{dataCentre: dataCentre, isClaimKnown: true, claimOffset: records.NoTerm, firstEndOffset: -1}
}

// restart clears the state when records before next are missing, which apply
// or applyEnd has found. at is the timestamp of the record at next, zero if
// it is not known.
func (v *logView) restart(next int64, at time.Time) {
	*v = newLogView(v.dataCentre)
	v.nextOffset = next
	v.isClaimKnown = false
	v.firstRecordTime = at
}

// applyEnd handles a read that reached the end of the stream at next. It
// reports whether records were missed, and then clears the state. It also
// records the end that the first such read reached.
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

// apply updates the view with the next record of the stream, of any data
// centre. applyRecord calls it for each record that is read. It moves
// nextOffset; clears the state if offsets before this record were skipped, since
// the log had dropped those records, and returns missed as true; and, if the record is of this data centre,
// updates the claim in force, its release and its majority, or infers the
// claim if it is not known. It returns what has changed. A record that was
// applied before is ignored.
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

// isForDataCentre reports whether a record is a claim, heartbeat or release
// of the data centre of the view. apply ignores the contents of all others.
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

// applyToKnownClaim updates the view with a record of the data centre when
// the claim in force is known. A claim whose base is not the claim in force
// is ignored, unless it has no base and the data centre was silent for
// baselessClaimSilence; so are heartbeats and releases of other claims.
// apply calls it, and inferClaim for the records that it has retained.
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

// setClaim sets the claim in force, when a valid claim was read or one was
// inferred. It is neither released nor has it a majority until its owner
// writes that.
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

// inferClaim finds the claim in force after the first records were dropped.
// apply calls it for each record of the data centre until it has succeeded.
// It succeeds with one of these records:
//   - a claim without a base that certainly followed baselessClaimSilence;
//     this claim is in force.
//   - a heartbeat of a retained claim. It proves that this claim came into
//     force, since its sender had read the whole stream.
//   - a heartbeat of a claim that was dropped, at least minInferenceAge after
//     lastAmbiguousTime, while fewer than maxRetained records are retained.
//     Only the offset and the instance of this claim are then known.
//
// After a heartbeat, the retained records that follow its claim are applied,
// so that a later claim among them comes into force. All other records are
// retained, up to maxRetained.
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

// lastAmbiguousTime returns the time of the last record at which a claim
// that this reader cannot judge may have come into force: the first record,
// since a dropped claim may be just before it, or the last retained claim
// without a base, which is valid only if a silence preceded it. If the claim
// of a heartbeat was dropped, it is earlier than that record, and the sender
// may not have read the record yet. inferClaim therefore trusts such a
// heartbeat only if it is at least minInferenceAge younger than the record.
func (v *logView) lastAmbiguousTime() time.Time {
	at := v.firstRecordTime
	for _, r := range v.retained {
		if r.Record.Claim != nil && r.Record.Claim.Base == records.NoTerm {
			at = r.Time
		}
	}
	return at
}

// retainedClaimIndex returns the index of the retained claim at an offset,
// -1 if there is none. inferClaim looks up the claim of a heartbeat with it.
func (v *logView) retainedClaimIndex(offset int64) int {
	for i, r := range v.retained {
		if r.Offset == offset && r.Record.Claim != nil {
			return i
		}
	}
	return -1
}

// wasSilentBefore reports whether the data centre certainly wrote nothing
// for baselessClaimSilence before a record. inferClaim calls it for a claim
// without a base (base records.NoTerm), which is certainly valid only then.
// For a record written after the first read that reached the end of the
// stream, dropped records are at least that old.
func (v *logView) wasSilentBefore(r LogRecord) bool {
	if !v.lastRecordTime.IsZero() {
		return r.Time.Sub(v.lastRecordTime) >= baselessClaimSilence
	}
	if v.firstEndOffset >= 0 && r.Offset >= v.firstEndOffset {
		return true
	}
	return r.Time.Sub(v.firstRecordTime) >= baselessClaimSilence
}
