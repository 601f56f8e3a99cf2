package scripts

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Exit codes of gypsumwinch that the scripts expect.
const (
	exitAccepted = 0
	exitRefused  = 3
)

// cmdOwner waits until a daemon knows the owner of its data centre and sets
// $VARIABLE to it: owner ENTRY VARIABLE [OTHERS]. $OTHERS is set to the other
// daemons of the data centre, as a comma-separated list.
func cmdOwner(ts *testscript.TestScript, c *cell, args []string) error {
	d, err := c.daemon(args[0])
	if err != nil {
		return err
	}
	return await("an owner is known to "+args[0], func() bool {
		status, err := d.operator.Status(c.ctx)
		if err != nil || status.Owner.VM == "" {
			return false
		}
		ts.Setenv(args[1], status.Owner.VM)
		if len(args) > 2 {
			ts.Setenv(args[2], c.otherDaemons(d.dataCentre, status.Owner.VM))
		}
		return true
	})
}

// otherDaemons returns the daemons of a data centre except one, as a sorted
// comma-separated list.
func (c *cell) otherDaemons(dataCentre, except string) string {
	var names []string
	for id, d := range c.daemons {
		if d.dataCentre == dataCentre && id != except {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

// publish runs gypsumwinch config publish once against a daemon and returns its
// exit code and output. The error is set if the program could not be started.
// cmdPublish and cmdRace call it.
func (c *cell) publish(entry, base, file, why string) (int, string, error) {
	d, err := c.daemon(entry)
	if err != nil {
		return 0, "", err
	}
	cmd := exec.Command(programPath("gypsumwinch"), "-addr", d.listen, "config", "publish",
		"-base", base, "-who", "script", "-why", why, filepath.Join(c.dir, file))
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		return 0, "", err
	}
	return cmd.ProcessState.ExitCode(), string(out), nil
}

// cmdPublish repeats the publication of a configuration until it is accepted:
// publish ENTRY BASE FILE.
func cmdPublish(_ *testscript.TestScript, c *cell, args []string) error {
	var lastOutput string
	err := await("publication is accepted", func() bool {
		code, output, err := c.publish(args[0], args[1], args[2], "script")
		lastOutput = output
		return err == nil && code == exitAccepted
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, lastOutput)
	}
	return nil
}

// race holds the exit codes and outputs of concurrent publications on the same
// base version, one per entry VM.
type race struct {
	exitCodes []int
	outputs   []string
}

// cmdRace publishes conflicting configurations on the same base version
// concurrently, one through each entry VM, and records the results for
// check races: race BASE FILE ENTRY...
func cmdRace(_ *testscript.TestScript, c *cell, args []string) error {
	data, err := os.ReadFile(filepath.Join(c.dir, args[1]))
	if err != nil {
		return err
	}
	entries := args[2:]
	r := race{exitCodes: make([]int, len(entries)), outputs: make([]string, len(entries))}
	var wg sync.WaitGroup
	for i, entry := range entries {
		// A team with a unique name makes each configuration differ from the others.
		file := fmt.Sprintf("race-%d-%d.yaml", len(c.races), i)
		team := fmt.Sprintf("  - name: racer-%d\n    quota: {cores: 1, memory: 1GiB, accelerators: 0}\n", i)
		if err := os.WriteFile(filepath.Join(c.dir, file), append(data, team...), 0o644); err != nil {
			return err
		}
		wg.Go(func() {
			code, output, err := c.publish(entry, args[0], file, "race")
			if err != nil {
				code, output = -1, err.Error()
			}
			r.exitCodes[i], r.outputs[i] = code, output
		})
	}
	wg.Wait()
	c.races = append(c.races, r)
	return nil
}

// cmdVersionsAgree waits until daemons have the same configuration version in
// force and it is at least VERSION: versions-agree VERSION ENTRY...
func cmdVersionsAgree(_ *testscript.TestScript, c *cell, args []string) error {
	var minVersion int64
	if _, err := fmt.Sscan(args[0], &minVersion); err != nil {
		return err
	}
	versions := make(map[string]int64)
	err := await("same configuration on "+fmt.Sprint(args[1:]), func() bool {
		clear(versions)
		distinctVersions := make(map[int64]bool)
		for _, entry := range args[1:] {
			v, err := c.recordVersion(entry)
			if err != nil || v < minVersion {
				return false
			}
			versions[entry] = v
			distinctVersions[v] = true
		}
		return len(distinctVersions) == 1
	})
	if err != nil {
		return fmt.Errorf("%w: %v", err, versions)
	}
	return nil
}

// recordVersion returns the configuration version in force on a daemon and
// appends it to seenVersions for check versions.
func (c *cell) recordVersion(entry string) (int64, error) {
	d, err := c.daemon(entry)
	if err != nil {
		return 0, err
	}
	config, err := d.operator.Config(c.ctx)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seenVersions[entry] = append(c.seenVersions[entry], config.Version)
	return config.Version, nil
}

// cmdWatchVersions records the configuration versions in force on daemons in
// the background until the script ends: watch-versions ENTRY...
func cmdWatchVersions(_ *testscript.TestScript, c *cell, args []string) error {
	for _, entry := range args {
		c.watchers.Go(func() {
			for c.ctx.Err() == nil {
				c.recordVersion(entry)
				time.Sleep(watchInterval)
			}
		})
	}
	return nil
}

const watchInterval = 20 * time.Millisecond

// cmdRaceCurrent calls cmdRace with the version in force on the first entry VM
// as base. It sets $VERSION to the lowest version that may be in force
// afterwards: race-current FILE ENTRY...
func cmdRaceCurrent(ts *testscript.TestScript, c *cell, args []string) error {
	base, err := c.recordVersion(args[1])
	if err != nil {
		return err
	}
	ts.Setenv("VERSION", fmt.Sprint(base+1))
	return cmdRace(ts, c, append([]string{fmt.Sprint(base)}, args...))
}

// cmdAwaitSuccessor waits until one of the daemons other than FORMER reports
// that it is the owner of its data centre: await-successor FORMER ENTRY...
func cmdAwaitSuccessor(_ *testscript.TestScript, c *cell, args []string) error {
	return await("successor of "+args[0], func() bool {
		for _, entry := range args[1:] {
			if entry == args[0] {
				continue
			}
			d, err := c.daemon(entry)
			if err != nil {
				return false
			}
			status, err := d.operator.Status(c.ctx)
			if err == nil && status.Owner.Self {
				return true
			}
		}
		return false
	})
}

// cmdAwaitLogDown waits until daemons report that the log is unreachable:
// await-log-down ENTRY...
func cmdAwaitLogDown(_ *testscript.TestScript, c *cell, args []string) error {
	return c.each(args, func(d *daemon) error {
		return await(d.id+" reports that the log is unreachable", func() bool {
			status, err := d.operator.Status(c.ctx)
			return err == nil && !status.LogReachable
		})
	})
}
