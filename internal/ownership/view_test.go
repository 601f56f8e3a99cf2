package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumwinch/internal/records"
)

// drawStream generates records of stream "owners" with races between claims,
// late heartbeats and long silences.
func drawStream(t *rapid.T) []LogRecord {
	now := time.Unix(0, 0)
	complete := newLogView("a")
	former := complete
	var stream []LogRecord
	var claimedAt time.Time
	for i := range rapid.IntRange(1, 60).Draw(t, "records") {
		step := time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
		if rapid.IntRange(0, 7).Draw(t, "silence") == 0 {
			step = time.Duration(rapid.IntRange(1, 45).Draw(t, "minutes")) * time.Minute
		}
		now = now.Add(step)
		claim := &records.Claim{DataCentre: "a", Instance: fmt.Sprintf("i%d", i), Base: complete.claimOffset}
		var r records.Record
		switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
		case kind == 0:
			r.Claim = claim
		case kind == 1:
			claim.Base = former.claimOffset
			r.Claim = claim
		case kind == 2:
			claim.Base = records.NoTerm
			r.Claim = claim
		case kind == 3 && complete.claimOffset >= 0:
			r.Release = &records.Release{DataCentre: "a", Instance: complete.instance, Term: complete.claimOffset}
		case kind == 4 && former.claimOffset >= 0 && now.Sub(claimedAt) < 20*time.Second:
			// The former owner sent it before it read the later claim.
			r.Heartbeat = &records.Heartbeat{DataCentre: "a", Instance: former.instance, Term: former.claimOffset}
		case kind < 8 && complete.claimOffset >= 0:
			r.Heartbeat = &records.Heartbeat{DataCentre: "a", Instance: complete.instance, Term: complete.claimOffset}
		default:
			r.Heartbeat = &records.Heartbeat{DataCentre: "b", Instance: "x", Term: 3}
		}
		previous := complete
		stream = append(stream, LogRecord{Offset: int64(i), Time: now, Record: r})
		if c, _ := complete.apply(stream[i]); c == newClaim {
			former = previous
			claimedAt = now
		}
	}
	return stream
}

// Guards against two readers that consider different claims to be in force,
// when one of them started to read after the log had dropped the first
// records.
func TestLateReaderAgrees(t *testing.T) {
	readsWithDroppedRecords := 0
	rapid.Check(t, func(t *rapid.T) {
		const retention = baselessClaimSilence + time.Minute
		stream := drawStream(t)
		joinIndex := rapid.IntRange(1, len(stream)).Draw(t, "join")
		complete := newLogView("a")
		late := newLogView("a")
		for i, r := range stream {
			complete.apply(r)
			if i < joinIndex && stream[joinIndex-1].Time.Sub(r.Time) > retention {
				continue
			}
			late.apply(r)
			if i >= joinIndex-1 {
				late.applyEnd(int64(i + 1))
			}
			if late.isClaimKnown && late.claimOffset != complete.claimOffset {
				t.Fatalf("at offset %d: claim %d for a late reader, %d for a complete one", i, late.claimOffset, complete.claimOffset)
			}
			if late.isClaimKnown && stream[0].Time.Before(r.Time.Add(-retention)) {
				readsWithDroppedRecords++
			}
		}
	})
	if readsWithDroppedRecords == 0 {
		t.Fatal("no late reader knew the claim in force")
	}
}
