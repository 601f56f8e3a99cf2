// Package admission decides what callers are told whose submissions cannot be recorded.
// It reads no clock and makes no call; package node applies it.
package admission

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the shortest delay that callers can be told: whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the delay, and so the time for which a caller still waits
	// after the end of an outage.
	maxRetryAfter = 4 * time.Second
)

// RetryAfter returns, in whole seconds, when a caller should repeat a submission that
// was refused because the store has not answered for outage. random, 0 to 1, spreads
// callers that are refused at the same moment.
//
// The load that it answers is an outage of the store of unknown length, 3 to 10 s, while
// callers arrive as usual and repeat a refused submission a few times. With a constant
// short delay they have used up their attempts within the first seconds and are lost.
// An outage that has lasted long is expected to last as long again, so the delay grows
// with it.
func RetryAfter(outage time.Duration, random float64) time.Duration {
	seconds := time.Duration(math.Floor(outage.Seconds()+0.5+1.5*random)) * time.Second
	return max(minRetryAfter, min(seconds, maxRetryAfter))
}
