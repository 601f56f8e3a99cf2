package soak

import (
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed of the soak of the real daemon")
	soakSeeds = flag.Uint64("soak.seeds", 2, "number of seeds of the soak of the real daemon")
)

// TestRealDaemonKeepsTheRules guards against a rule that real processes break while signals, links and the store fail.
func TestRealDaemonKeepsTheRules(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	daemon := buildDaemon(t, dir)
	for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
		size := Size{VMs: 4, Workers: 12, Traffic: 15 * time.Second, JobsPerSecond: 4}
		s := DrawSchedule(seed, size)
		if seed%2 == 0 {
			s = DrawCancelSchedule(seed, size)
		}
		// The bound of cancellations depends on how fast the machine is.
		result, err := Run(s, Options{Daemon: daemon, Dir: filepath.Join(dir, "run"), ChecksCancelBound: false})
		is.NoErr(err)
		result.Print(testWriter{t})
		is.Equal(result.Violations, nil)
		is.True(result.Completed > 0)
	}
}

// testWriter writes to the log of a test.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}

// TestOddEntriesBreakNoRule guards the real daemon against entries of other writers under the
// ids of workers (issue 28): runs of these workers ran twice.
func TestOddEntriesBreakNoRule(t *testing.T) { playKeptSchedule(t, "odd-entries.yaml") }

// TestGrowingConfigurationIsInForceOverNarrowLinks guards against a real daemon that never has a large configuration in force, since each read of it is cut off (issue 52).
func TestGrowingConfigurationIsInForceOverNarrowLinks(t *testing.T) {
	playKeptSchedule(t, "growing-configuration.yaml")
}

// playKeptSchedule plays a schedule of testdata, which must break no rule.
func playKeptSchedule(t *testing.T, file string) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	s, err := ReadSchedule(filepath.Join("testdata", file))
	is.NoErr(err)
	result, err := Run(s, Options{Daemon: buildDaemon(t, dir), Dir: filepath.Join(dir, "run")})
	is.NoErr(err)
	result.Print(testWriter{t})
	is.Equal(result.Violations, nil)
	is.True(result.Completed > 0)
}

// buildDaemon builds the daemon in a directory and returns its path.
func buildDaemon(t *testing.T, dir string) string {
	t.Helper()
	daemon := filepath.Join(dir, "gypsumwinchd")
	output, err := exec.Command("go", "build", "-o", daemon, "gypsumwinch/cmd/gypsumwinchd").CombinedOutput()
	if err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, output)
	}
	return daemon
}
