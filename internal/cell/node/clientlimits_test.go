package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClientLimitsAreSummedUp guards the log against clients that reach limits thousands of
// times a second: one line a second names all of them.
func TestClientLimitsAreSummedUp(t *testing.T) {
	is := is.New(t)
	var l clientLimitLog
	now := time.Unix(1000, 0)
	is.Equal(l.add("callers_busy", now), map[string]int{"callers_busy": 1})
	for range 3 {
		is.Equal(l.add("callers_busy", now.Add(time.Millisecond)), nil)
	}
	is.Equal(l.add("readiness_busy", now.Add(clientLimitLogInterval)), map[string]int{"callers_busy": 3, "readiness_busy": 1})
}
