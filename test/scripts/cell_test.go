package scripts

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"gypsumwinch/internal/operatorapi"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin"
	"gypsumwinch/standin/caller"
	"gypsumwinch/standin/check"
)

// cell holds the processes of one script and the results of its callers. The
// script command cell starts its stand-ins, and daemon adds an entry VM.
type cell struct {
	dir      string
	ctx      context.Context
	cancel   context.CancelFunc
	standins *process
	control  *check.Client
	addrs    standin.Addresses
	daemons  map[string]*daemon
	jobs     map[string]string
	senders  sync.WaitGroup
	watchers sync.WaitGroup

	mu           sync.Mutex
	sentRequests []caller.Sent
	races        []race
	// seenVersions holds the configuration versions observed in force on each
	// daemon, in the order of the observations.
	seenVersions map[string][]int64
}

// daemon is an entry VM: a gypsumwinchd process with its settings.
type daemon struct {
	*process
	id         string
	dataCentre string
	listen     string
	settings   string
	operator   *operatorapi.Client
}

// newCell returns a cell without processes that keeps its files in dir. setup
// calls it for each script.
func newCell(dir string) *cell {
	ctx, cancel := context.WithCancel(context.Background())
	return &cell{
		dir: dir, ctx: ctx, cancel: cancel,
		daemons: make(map[string]*daemon), jobs: make(map[string]string), seenVersions: make(map[string][]int64),
	}
}

// close kills all processes and waits for the goroutines of load and
// watch-versions. It runs when the script ends.
func (c *cell) close() {
	c.cancel()
	for _, d := range c.daemons {
		d.kill()
	}
	if c.standins != nil {
		c.standins.kill()
	}
	c.senders.Wait()
	c.watchers.Wait()
}

// logProcesses writes the last bytes of each daemon's log to the script's log.
// It runs when a command has failed.
func (c *cell) logProcesses(ts *testscript.TestScript) {
	const maxTailBytes = 3000
	for _, d := range c.daemons {
		data, _ := os.ReadFile(d.logFile)
		ts.Logf("log of %s:\n%s", d.id, data[max(len(data)-maxTailBytes, 0):])
	}
}

// daemon returns the daemon with the name, or an error if the script has started
// none with it.
func (c *cell) daemon(name string) (*daemon, error) {
	d := c.daemons[name]
	if d == nil {
		return nil, fmt.Errorf("no daemon is named %q", name)
	}
	return d, nil
}

// cmdCell starts the stand-ins and sets $STANDINS to their control address:
// cell [flags of standins].
func cmdCell(ts *testscript.TestScript, c *cell, args []string) error {
	line := append([]string{programPath("standins")}, args...)
	p, out, err := startProcess(standinsName, filepath.Join(c.dir, "standins.log"), line...)
	c.standins = p
	if err != nil {
		return err
	}
	if err := json.Unmarshal(out.Bytes(), &c.addrs); err != nil {
		return err
	}
	c.control = check.NewClient(c.addrs.Control)
	ts.Setenv("STANDINS", c.addrs.Control)
	return nil
}

// cmdDaemon writes the settings of an entry VM, adds it to the VM list and
// starts it: daemon NAME DATA-CENTRE. $NAME is set to its address for callers and
// operators.
func cmdDaemon(ts *testscript.TestScript, c *cell, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: daemon NAME DATA-CENTRE")
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	peer, err := freeAddr()
	if err != nil {
		return err
	}
	d := &daemon{id: args[0], dataCentre: args[1], listen: listen, settings: filepath.Join(c.dir, args[0]+".yaml")}
	d.operator = operatorapi.NewClient([]string{listen}, 20*time.Second)
	settings := fmt.Sprintf(`vm: %s
data_centre: %s
listen: %s
peer_listen: %s
platform: {log: "%s", vm_list: "%s"}
log: {level: debug}
balancer_delay: 1s
drain_timeout: 2m
`, d.id, d.dataCentre, listen, peer, c.addrs.Log, c.addrs.VMList)
	if err := os.WriteFile(d.settings, []byte(settings), 0o644); err != nil {
		return err
	}
	if err := c.control.PutVM(c.ctx, structs.VM{
		ID: d.id, DataCentre: d.dataCentre, Addr: peer, Kind: structs.VMEntry, State: structs.VMLive,
	}); err != nil {
		return err
	}
	ts.Setenv(d.id, listen)
	c.daemons[d.id] = d
	return c.startDaemon(d)
}

// startDaemon starts the process of a daemon with its settings; its log is
// appended to the same file at each start. cmdDaemon and cmdRestart call it.
func (c *cell) startDaemon(d *daemon) error {
	p, _, err := startProcess(d.id, filepath.Join(c.dir, d.id+".log"), programPath("gypsumwinchd"), "-settings", d.settings)
	d.process = p
	return err
}

// cmdRestart kills daemons that still run and starts them again:
// restart NAME...
func cmdRestart(_ *testscript.TestScript, c *cell, args []string) error {
	return c.each(args, func(d *daemon) error {
		d.kill()
		return c.startDaemon(d)
	})
}

// each calls f for each named daemon and returns the first error.
func (c *cell) each(names []string, f func(*daemon) error) error {
	for _, name := range names {
		d, err := c.daemon(name)
		if err != nil {
			return err
		}
		if err := f(d); err != nil {
			return err
		}
	}
	return nil
}

// cmdReady waits until /readyz of each daemon returns status 200: ready NAME...
func cmdReady(_ *testscript.TestScript, c *cell, args []string) error {
	return c.each(args, func(d *daemon) error {
		client := &http.Client{Timeout: 2 * time.Second}
		return await(d.id+" is ready", func() bool {
			resp, err := client.Get("http://" + d.listen + "/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	})
}

// cmdKillVM kills daemons with SIGKILL and waits until they have exited:
// kill-vm NAME...
func cmdKillVM(_ *testscript.TestScript, c *cell, args []string) error {
	return c.each(args, func(d *daemon) error {
		d.kill()
		return nil
	})
}

// cmdTerminate sends SIGTERM to daemons, which starts a graceful shutdown:
// terminate NAME...
func cmdTerminate(_ *testscript.TestScript, c *cell, args []string) error {
	return c.each(args, func(d *daemon) error { return d.signal(syscall.SIGTERM) })
}

// cmdAwaitExit waits until daemons have exited, and fails if an exit code is not
// 0: await-exit NAME...
func cmdAwaitExit(_ *testscript.TestScript, c *cell, args []string) error {
	return c.each(args, func(d *daemon) error {
		if err := d.awaitExit(); err != nil {
			return err
		}
		if code := d.cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("%s exited with %d", d.id, code)
		}
		return nil
	})
}

// cmdPause stops daemons with SIGSTOP: pause NAME...
func cmdPause(_ *testscript.TestScript, c *cell, args []string) error {
	return c.each(args, func(d *daemon) error { return d.signal(syscall.SIGSTOP) })
}

// cmdResume continues paused daemons with SIGCONT: resume NAME...
func cmdResume(_ *testscript.TestScript, c *cell, args []string) error {
	return c.each(args, func(d *daemon) error { return d.signal(syscall.SIGCONT) })
}

// cmdFault replaces the faults of stand-ins: fault JSON NODE...
func cmdFault(_ *testscript.TestScript, c *cell, args []string) error {
	for _, node := range args[1:] {
		if err := c.control.SetFaults(c.ctx, node, json.RawMessage(args[0])); err != nil {
			return err
		}
	}
	return nil
}

// logFault returns a command without arguments that replaces the faults of the
// log stand-in. log-down, log-up and log-lose-answer use it.
func logFault(faults string) func(*testscript.TestScript, *cell, []string) error {
	return func(ts *testscript.TestScript, c *cell, _ []string) error {
		return cmdFault(ts, c, []string{faults, standin.NodeLog})
	}
}

// cmdCut replaces the faults of stand-ins so that daemons cannot reach them:
// cut NAME[,NAME] NODE...
func cmdCut(ts *testscript.TestScript, c *cell, args []string) error {
	names, err := json.Marshal(strings.Split(args[0], ","))
	if err != nil {
		return err
	}
	return cmdFault(ts, c, append([]string{fmt.Sprintf(`{"cut":%s}`, names)}, args[1:]...))
}

// cmdLeave sets the state of VMs in the VM list to leaving: leave VM...
func cmdLeave(_ *testscript.TestScript, c *cell, args []string) error {
	vms, err := c.control.VMList(c.ctx)
	if err != nil {
		return err
	}
	for _, vm := range vms {
		for _, id := range args {
			if vm.ID != id {
				continue
			}
			vm.State = structs.VMLeaving
			if err := c.control.PutVM(c.ctx, vm); err != nil {
				return err
			}
		}
	}
	return nil
}
