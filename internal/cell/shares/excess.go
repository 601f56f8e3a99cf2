package shares

import "time"

// bucket has a token for each job that a customer may submit now: weight tokens are added a
// second, up to those of one second.
type bucket struct {
	tokens float64
	// filledAt is when the tokens were last added; zero before the first job.
	filledAt time.Time
}

// CountJob counts a submission and reports whether it is beyond what the customer may submit:
// more than its weight a second. Jobs are counted in the order of their acceptance; a new owner
// counts the jobs that it loads again. A customer without a weight has no such limit.
//
// acceptedAt is a time of day on the clock of another VM, and now that of this one, which may be
// set back: neither may make all jobs of the next hours excess.
func (a *Account) CountJob(acceptedAt, now time.Time) (isExcess bool) {
	if a.weight <= 0 {
		return false
	}
	if acceptedAt.After(now) {
		acceptedAt = now
	}
	if a.bucket.filledAt.After(now) {
		a.bucket.filledAt = now
	}
	burst := max(a.weight, 1)
	switch elapsed := acceptedAt.Sub(a.bucket.filledAt); {
	case a.bucket.filledAt.IsZero():
		a.bucket = bucket{tokens: burst, filledAt: acceptedAt}
	case elapsed > 0:
		a.bucket.tokens = min(burst, a.bucket.tokens+a.weight*elapsed.Seconds())
		a.bucket.filledAt = acceptedAt
	}
	if a.bucket.tokens < 1 {
		a.excessJobs++
		return true
	}
	a.bucket.tokens--
	return false
}

// ExcessJobs returns how many jobs were excess since the ledger was created.
func (a *Account) ExcessJobs() int { return a.excessJobs }
