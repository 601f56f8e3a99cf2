package caller

import (
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/backendserver"
)

// Guards against a check that misses a wrong status or a second run of a non-idempotent
// request, and against false alarms for retried requests.
func TestCheckRequest(t *testing.T) {
	run := backendserver.Run{}
	answered := func(status structs.Status) Told {
		return Told{Answer: &callerapi.Answer{Status: status}}
	}
	tests := []struct {
		name    string
		sent    Sent
		runs    []backendserver.Run
		problem bool
	}{
		{"completed", Sent{Told: answered(structs.StatusCompleted)}, []backendserver.Run{run}, false},
		{"never ran", Sent{Told: answered(structs.StatusCompleted)}, nil, true},
		{"retried", Sent{Told: answered(structs.StatusCompleted)}, []backendserver.Run{run, run}, false},
		{"ran twice", Sent{NonIdempotent: true, Told: answered(structs.StatusCompleted)}, []backendserver.Run{run, run}, true},
		{"ran twice, no answer", Sent{NonIdempotent: true}, []backendserver.Run{run, run}, true},
		{"false not run", Sent{Told: answered(structs.StatusNotRun)}, []backendserver.Run{run}, true},
		{"unknown", Sent{NonIdempotent: true, Told: answered(structs.StatusUnknown)}, []backendserver.Run{run}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.sent.Check(tt.runs) != "", tt.problem)
		})
	}
}
