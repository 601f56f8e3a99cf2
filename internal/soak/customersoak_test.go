package soak

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCustomersKeepTheRules guards real processes against calls that pass without a valid key and
// against starts above the quota of a customer, while keys, quotas and processes change.
func TestCustomersKeepTheRules(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	size := Size{VMs: 4, Workers: 12, Traffic: 15 * time.Second, JobsPerSecond: 5}
	// The time in which a version is in force depends on how fast the machine is.
	result, err := Run(DrawSchedule(1, size).WithCustomers(3), Options{Daemon: buildDaemon(t, dir), Dir: filepath.Join(dir, "run"), ChecksApplyBound: false})
	is.NoErr(err)
	result.Print(testWriter{t})
	is.Equal(result.Violations, nil)
	is.True(result.Completed > 0)
	is.True(result.QuotaStarts > 0)
	is.True(result.KeyAnswers > 0)
}
