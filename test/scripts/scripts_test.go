// Package scripts runs the failure tests: each script (*.txtar) in this
// directory starts the daemons and the stand-ins of the platform, workers and
// backend servers as processes, injects faults and checks an invariant of
// docs/design.md against what the stand-ins observed and the callers received.
// Scripts wait for conditions, never for a fixed time, so that a slow machine
// makes them slower but does not fail them. docs/PROOFS-scripts.md lists what
// each script guards against.
//
// The package is not for testing single packages or measuring speed. Read type
// cell first: it holds the processes of one script and the results of its
// callers. TestScripts lists the script commands, and cmdCheck the checks.
package scripts

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// conditionTimeout limits each wait for a condition. It is far above what any
// condition takes on an idle machine (30 s for a takeover).
const conditionTimeout = 150 * time.Second

// binDir is the directory of the programs under test, set by buildAndRun.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs under test into a temporary directory, runs
// the tests and returns the exit code. TestMain calls it; it is a function of its
// own so that the directory is removed before os.Exit.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gypsumwinch-scripts-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"gypsumwinch/cmd/gypsumwinchd", "gypsumwinch/cmd/gypsumwinch",
		"gypsumwinch/cmd/gypsumwinch-trace", "gypsumwinch/standin/cmd/standins")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// TestScripts runs each *.txtar file of this directory as a subtest. The head of
// each script names the invariant that it guards and the faults that it injects.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		Setup:               setup,
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cell":            command(cmdCell),
			"daemon":          command(cmdDaemon),
			"restart":         command(cmdRestart),
			"ready":           command(cmdReady),
			"kill-vm":         command(cmdKillVM),
			"terminate":       command(cmdTerminate),
			"await-exit":      command(cmdAwaitExit),
			"pause":           command(cmdPause),
			"resume":          command(cmdResume),
			"fault":           command(cmdFault),
			"cut":             command(cmdCut),
			"leave":           command(cmdLeave),
			"log-down":        command(logFault(`{"down":true}`)),
			"log-up":          command(logFault(`{}`)),
			"log-lose-answer": command(logFault(`{"lose_answers":-1}`)),
			"owner":           command(cmdOwner),
			"publish":         command(cmdPublish),
			"race":            command(cmdRace),
			"versions-agree":  command(cmdVersionsAgree),
			"race-current":    command(cmdRaceCurrent),
			"await-successor": command(cmdAwaitSuccessor),
			"await-log-down":  command(cmdAwaitLogDown),
			"await-quiet":     command(cmdAwaitQuiet),
			"watch-versions":  command(cmdWatchVersions),
			"load":            command(cmdLoad),
			"await-load":      command(cmdAwaitLoad),
			"await-answers":   command(cmdAwaitAnswers),
			"await-runs":      command(cmdAwaitRuns),
			"job":             command(cmdJob),
			"await-job":       command(cmdAwaitJob),
			"await-tasks":     command(cmdAwaitTasks),
			"check":           command(cmdCheck),
		},
	})
}

// cellKey is the key of the *cell in testscript.Env.Values.
type cellKey struct{}

// setup prepares a script before its first command: it creates the cell, adds
// the programs under test to PATH and copies the test configuration to
// cluster.yaml in the script's directory.
func setup(env *testscript.Env) error {
	c := newCell(env.WorkDir)
	env.Values[cellKey{}] = c
	env.Defer(c.close)
	env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
	config, err := os.ReadFile("../../testdata/cluster.yaml")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(env.WorkDir, "cluster.yaml"), config, 0o644)
}

// command adapts a function to the signature of testscript commands. An error
// logs the tail of each daemon's log and fails the script. TestScripts calls it
// for each command.
func command(f func(ts *testscript.TestScript, c *cell, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		c := ts.Value(cellKey{}).(*cell)
		err := f(ts, c, args)
		if neg {
			ts.Fatalf("commands of this package cannot be negated")
		}
		if err != nil {
			c.logProcesses(ts)
			ts.Fatalf("%v", err)
		}
	}
}

// await polls until the condition holds, and returns an error after
// conditionTimeout. The text what names the condition in the error.
func await(what string, condition func() bool) error {
	for deadline := time.Now().Add(conditionTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: condition not met after %v", what, conditionTimeout)
		}
	}
	return nil
}
