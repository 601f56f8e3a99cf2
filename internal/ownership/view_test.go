package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumwinch/internal/records"
)

// drawStream generates stream "owners" with races, late heartbeats and silences.
func drawStream(t *rapid.T) []LogRecord {
	now := time.Unix(0, 0)
	full := newLogView("a")
	former := full
	var stream []LogRecord
	var claimed time.Time
	for i := range rapid.IntRange(1, 60).Draw(t, "records") {
		step := time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
		if rapid.IntRange(0, 7).Draw(t, "silence") == 0 {
			step = time.Duration(rapid.IntRange(1, 45).Draw(t, "minutes")) * time.Minute
		}
		now = now.Add(step)
		claim := &records.Claim{DataCentre: "a", Instance: fmt.Sprintf("i%d", i), Base: full.claimOffset}
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
		case kind == 3 && full.claimOffset >= 0:
			r.Release = &records.Release{DataCentre: "a", Instance: full.instance, Term: full.claimOffset}
		case kind == 4 && former.claimOffset >= 0 && now.Sub(claimed) < 20*time.Second:
			// The former owner sent it before it read the claim.
			r.Heartbeat = &records.Heartbeat{DataCentre: "a", Instance: former.instance, Term: former.claimOffset}
		case kind < 8 && full.claimOffset >= 0:
			r.Heartbeat = &records.Heartbeat{DataCentre: "a", Instance: full.instance, Term: full.claimOffset}
		default:
			r.Heartbeat = &records.Heartbeat{DataCentre: "b", Instance: "x", Term: 3}
		}
		before := full
		stream = append(stream, LogRecord{Offset: int64(i), Time: now, Record: r})
		if c, _ := full.apply(stream[i]); c == newClaim {
			former = before
			claimed = now
		}
	}
	return stream
}

// Guards against two readers that consider different claims as the one in force,
// when one of them began after the log had dropped the first records.
func TestLateReaderAgrees(t *testing.T) {
	anchored := 0
	rapid.Check(t, func(t *rapid.T) {
		const retention = baselessClaimSilence + time.Minute
		stream := drawStream(t)
		join := rapid.IntRange(1, len(stream)).Draw(t, "join")
		full := newLogView("a")
		late := newLogView("a")
		for i, r := range stream {
			full.apply(r)
			if i < join && stream[join-1].Time.Sub(r.Time) > retention {
				continue
			}
			late.apply(r)
			if i >= join-1 {
				late.applyEnd(int64(i + 1))
			}
			if late.isClaimKnown && late.claimOffset != full.claimOffset {
				t.Fatalf("at offset %d: claim %d for a late reader, %d for all", i, late.claimOffset, full.claimOffset)
			}
			if late.isClaimKnown && stream[0].Time.Before(r.Time.Add(-retention)) {
				anchored++
			}
		}
	})
	if anchored == 0 {
		t.Fatal("no late reader knew the claim in force")
	}
}
