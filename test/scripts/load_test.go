package scripts

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/caller"
)

// Limits of the callers in scripts: the timeout of one send, and the number of
// sends of one request or job.
const (
	sendTimeout     = 2 * time.Minute
	defaultMaxSends = 60
	maxJobSends     = 600
)

// listenAddrs returns the addresses for callers of a comma-separated list of
// daemons.
func (c *cell) listenAddrs(list string) ([]string, error) {
	var addrs []string
	err := c.each(strings.Split(list, ","), func(d *daemon) error {
		addrs = append(addrs, d.listen)
		return nil
	})
	return addrs, err
}

// loadOptions holds the options of the script command load.
type loadOptions struct {
	class    string
	count    int
	interval time.Duration
	runMS    int
	// answerSize is the number of bytes of the first answer; each further request
	// asks for one byte more.
	answerSize    int
	nonIdempotent bool
	// isSentTwice sends each request to two entry VMs at the same time, with the
	// same id.
	isSentTwice bool
	// maxSends limits the sends of one request.
	maxSends int
}

// parseLoadOptions returns the options in the arguments of the script command
// load, with defaults for those that are not set.
func parseLoadOptions(args []string) (loadOptions, error) {
	o := loadOptions{class: "label-check", count: 100, interval: 10 * time.Millisecond, runMS: 20, answerSize: 1000, maxSends: defaultMaxSends}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		var err error
		switch name {
		case "class":
			o.class = value
		case "count":
			o.count, err = strconv.Atoi(value)
		case "every":
			o.interval, err = time.ParseDuration(value)
		case "run_ms":
			o.runMS, err = strconv.Atoi(value)
		case "size":
			o.answerSize, err = strconv.Atoi(value)
		case "tries":
			o.maxSends, err = strconv.Atoi(value)
		case "non_idempotent":
			o.nonIdempotent = true
		case "twice":
			o.isSentTwice = true
		default:
			err = fmt.Errorf("unknown option %q", name)
		}
		if err != nil {
			return o, err
		}
	}
	return o, nil
}

// cmdLoad starts to send requests in the background and returns at once:
// load ENTRY[,ENTRY] [OPTION=VALUE]...
func cmdLoad(_ *testscript.TestScript, c *cell, args []string) error {
	addrs, err := c.listenAddrs(args[0])
	if err != nil {
		return err
	}
	o, err := parseLoadOptions(args[1:])
	if err != nil {
		return err
	}
	sender := caller.New(addrs, o.maxSends, sendTimeout)
	copies := 1
	if o.isSentTwice {
		copies = 2
	}
	c.senders.Go(func() {
		for i := range o.count {
			id := ulid.Make().String()
			payload := fmt.Appendf(nil, `{"run_ms":%d,"size":%d,"key":"%s"}`, o.runMS, o.answerSize+i, id)
			for range copies {
				c.senders.Go(func() {
					s := sender.Request(c.ctx, id, o.class, o.nonIdempotent, payload)
					c.mu.Lock()
					defer c.mu.Unlock()
					c.sentRequests = append(c.sentRequests, s)
				})
			}
			select {
			case <-time.After(o.interval):
			case <-c.ctx.Done():
				return
			}
		}
	})
	return nil
}

// cmdAwaitLoad waits until callers have an answer to every request of load or
// have used up its sends, and logs the number of answers by status: await-load.
func cmdAwaitLoad(ts *testscript.TestScript, c *cell, _ []string) error {
	done := make(chan struct{})
	go func() {
		c.senders.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(conditionTimeout):
		return fmt.Errorf("requests have no answer after %v", conditionTimeout)
	}
	counts := make(map[string]int)
	var slowest caller.Sent
	for _, s := range c.sentRequests {
		if s.Told.Total > slowest.Told.Total {
			slowest = s
		}
		status := "no answer"
		if s.Told.Answer != nil {
			status = string(s.Told.Answer.Status)
		}
		counts[status]++
	}
	ts.Logf("requests: %v; the slowest, %s of class %s, took %v in %d sends",
		counts, slowest.ID, slowest.Class, slowest.Told.Total, slowest.Told.Sends)
	return nil
}

// cmdAwaitRuns waits until the backend servers, or one of them, have started at
// least a number of runs: await-runs COUNT [SERVER].
func cmdAwaitRuns(_ *testscript.TestScript, c *cell, args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	return await("runs on backend servers", func() bool {
		o, err := c.control.Observe(c.ctx)
		if err != nil {
			return false
		}
		n := 0
		for id, s := range o.Servers {
			if len(args) < 2 || args[1] == id {
				n += len(s.Runs)
			}
		}
		return n >= want
	})
}

// cmdJob submits a job, with retries, until it is accepted:
// job ENTRY[,ENTRY] NAME count=N cpu=CORES memory=SIZE run_ms=N [gang] [fail]
func cmdJob(_ *testscript.TestScript, c *cell, args []string) error {
	addrs, err := c.listenAddrs(args[0])
	if err != nil {
		return err
	}
	group := callerapi.GroupBody{Name: "g", Count: 1, CPU: 1, Memory: "1GiB"}
	runMS, fail := 100, false
	for _, arg := range args[2:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "count":
			group.Count, err = strconv.Atoi(value)
		case "cpu":
			group.CPU, err = strconv.ParseFloat(value, 64)
		case "memory":
			group.Memory = value
		case "run_ms":
			runMS, err = strconv.Atoi(value)
		case "gang":
			group.Gang = true
		case "fail":
			fail = true
		default:
			err = fmt.Errorf("unknown option %q", name)
		}
		if err != nil {
			return err
		}
	}
	group.Payload = fmt.Appendf(nil, `{"run_ms":%d,"fail":%t}`, runMS, fail)
	id := ulid.Make().String()
	result := caller.New(addrs, maxJobSends, sendTimeout).Submit(c.ctx, "/v1/jobs", callerapi.JobBody{
		ID: id, Team: "certification", Class: "residue-review", Groups: []callerapi.GroupBody{group},
	})
	if result.Answer == nil || result.Answer.Status != structs.StatusCompleted {
		return fmt.Errorf("job was not accepted: %+v, %v", result.Answer, result.Input)
	}
	c.jobs[args[1]] = id
	return nil
}

// cmdAwaitJob waits until jobs are finished, and fails if a task did not succeed:
// await-job ENTRY NAME...
func cmdAwaitJob(_ *testscript.TestScript, c *cell, args []string) error {
	addrs, err := c.listenAddrs(args[0])
	if err != nil {
		return err
	}
	statusClient := caller.New(addrs, 1, sendTimeout)
	for _, name := range args[1:] {
		var last *jobstate.JobStatus
		var lastErr error
		err := await("job "+name+" is finished", func() bool {
			last, lastErr = statusClient.JobStatus(c.ctx, c.jobs[name])
			return lastErr == nil && last.Finished
		})
		if err != nil {
			return fmt.Errorf("%w: %+v, %v", err, last, lastErr)
		}
		if n := last.Counts[jobstate.Succeeded]; n != len(last.Tasks) {
			return fmt.Errorf("job %s: %d of %d tasks succeeded: %v", name, n, len(last.Tasks), last.Counts)
		}
	}
	return nil
}

// cmdAwaitTasks waits until the workers have started at least a number of task
// attempts of a job: await-tasks NAME COUNT.
func cmdAwaitTasks(_ *testscript.TestScript, c *cell, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return await("attempts of job "+args[0], func() bool {
		o, err := c.control.Observe(c.ctx)
		if err != nil {
			return false
		}
		n := 0
		for task, intervals := range o.Tasks() {
			if task.Job == c.jobs[args[0]] {
				n += len(intervals)
			}
		}
		return n >= want
	})
}

// cmdAwaitQuiet waits until no run has started on the servers for a duration, so
// that runs which start too late are observed before the checks:
// await-quiet DURATION SERVER...
func cmdAwaitQuiet(_ *testscript.TestScript, c *cell, args []string) error {
	quiet, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	return await("no new work on "+strings.Join(args[1:], ", "), func() bool {
		o, err := c.control.Observe(c.ctx)
		if err != nil {
			return false
		}
		for _, server := range args[1:] {
			runs := o.Servers[server].Runs
			if len(runs) > 0 && time.Since(runs[len(runs)-1].Start) < quiet {
				return false
			}
		}
		return true
	})
}

// cmdAwaitAnswers waits until callers have received at least a number of answers
// with a status: await-answers STATUS COUNT.
func cmdAwaitAnswers(_ *testscript.TestScript, c *cell, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	n := 0
	err = await("answers with status "+args[0], func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n = 0
		for _, s := range c.sentRequests {
			if s.Told.Answer != nil && string(s.Told.Answer.Status) == args[0] {
				n++
			}
		}
		return n >= want
	})
	if err != nil {
		return fmt.Errorf("%w: %d of %d", err, n, want)
	}
	return nil
}
