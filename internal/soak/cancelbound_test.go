package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/standin/fleet"
)

// TestBoundOfCancellations guards against a check that passes over a run that goes on in calm, or
// that blames one that the rule allows.
func TestBoundOfCancellations(t *testing.T) {
	origin := time.Unix(1000, 0)
	at := func(s float64) time.Time { return origin.Add(time.Duration(s * float64(time.Second))) }
	const acknowledged, now = 10, 100
	for _, test := range []struct {
		name       string
		start, end float64
		isLate     bool
		faults     [][2]float64
		kind       Kind
		applies    bool
		tooLate    bool
		runsOn     bool
	}{
		{name: "ends in time", start: 5, end: 13.1, applies: true},
		{name: "ends before the acknowledgement", start: 5, end: 9},
		{name: "goes on", start: 5, end: 13.3, applies: true, runsOn: true},
		{name: "never ends", start: 5, applies: true, runsOn: true},
		{name: "starts within the time and goes on", start: 12.9, end: 13.3, applies: true, runsOn: true},
		{name: "starts too late", start: 13.1, end: 13.15, applies: true, tooLate: true},
		{name: "starts too late and goes on", start: 13.3, end: 15, tooLate: true},
		{name: "starts too late, carried out late", start: 13.3, end: 19.4, isLate: true, applies: true},
		{name: "starts late and goes on", start: 13.3, end: 19.6, isLate: true, applies: true, runsOn: true},
		{name: "starts late before the acknowledgement and ends in time", start: 2, end: 13.1, isLate: true, applies: true},
		{name: "fault shortly before the acknowledgement", start: 5, end: 13.3, faults: [][2]float64{{6, 7.5}}, applies: true},
		{name: "fault long before the acknowledgement", start: 5, end: 13.3, faults: [][2]float64{{6, 6.9}}, applies: true, runsOn: true},
		{name: "goes on after a fault", start: 5, end: 18.3, faults: [][2]float64{{11, 12}}, applies: true, runsOn: true},
		{name: "ends in time after a fault", start: 5, end: 18.1, faults: [][2]float64{{11, 12}}, applies: true},
		{name: "never calm", start: 5, end: 21, faults: [][2]float64{{9, 12}, {18, 19}}},
		{name: "goes on beside odd entries", start: 5, end: 13.3, faults: [][2]float64{{9, 20}}, kind: OddEntries, applies: true, runsOn: true},
		{name: "starts too late near a fault", start: 14, end: 14.1, faults: [][2]float64{{11, 12}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := fleet.Run{StartedAt: at(test.start), IsLate: test.isLate}
			if test.end > 0 {
				r.EndedAt = at(test.end)
			}
			var faults []span
			for _, f := range test.faults {
				faults = append(faults, span{at(f[0]), at(f[1]), test.kind})
			}
			b := judgeRun(r, at(acknowledged), faults, at(now))
			is.Equal(b.applies, test.applies)
			is.Equal(b.startsTooLate, test.tooLate)
			is.Equal(b.runsOn, test.runsOn)
		})
	}
}
