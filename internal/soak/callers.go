package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gypsumwinch/standin/fleet"
	"gypsumwinch/standin/storeserver"
)

const (
	// maxAttempts is the number of failed runs after which a job fails.
	maxAttempts = 4
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 3 * time.Second
	// submissionAttempts is how often a caller submits a job whose submission was refused
	// or had no answer.
	submissionAttempts = 8
	// impatientShare is the share of the callers that give up after one attempt. A job that
	// was refused then must not run.
	impatientShare = 0.2
	// minLongTask is the shortest time that a long task runs; the longest is twice that.
	minLongTask = 10 * time.Second
	// pollInterval is the time between two questions for the state of a job.
	pollInterval = 700 * time.Millisecond
	// visibleAfter is how long an accepted job may be unknown.
	visibleAfter = 3 * time.Second
	// defaultCancelShare is the share of the jobs that are cancelled in most schedules.
	defaultCancelShare = 0.06
	// defaultCancelDelay and promptCancelDelay are the longest times between the acceptance of
	// a job and its cancellation.
	defaultCancelDelay = 2 * time.Second
	promptCancelDelay  = 2500 * time.Millisecond
	// lateCancelShare is the share of the prompt cancellations that are sent after visibleAfter
	// instead, when a VM that denies the job is believed.
	lateCancelShare = 0.15
	// lateCancelSpread is how much later they are sent.
	lateCancelSpread = 4 * time.Second
	// recoveryTimeout is how long after the last fault each accepted job must have ended. It
	// is far above what the rules allow, so that a slow machine does not decide the verdict.
	recoveryTimeout = 2 * time.Minute
)

// callers submits jobs and follows them.
type callers struct {
	cluster  *cluster
	schedule Schedule
	client   *http.Client
	ready    []atomic.Bool
	// overdue is closed recoveryTimeout after the last fault.
	overdue chan struct{}

	submitted, accepted, rejected, unknown, completed, failed, cancelled, unanswered atomic.Int64
	wg                                                                               sync.WaitGroup

	mu            sync.Mutex
	cancellations []cancellation
	// keyAnswers are the answers that show whether a VM took a key for valid.
	keyAnswers []keyAnswer
	// customerJobs are the jobs of customers.
	customerJobs []*job
}

// newCallers returns callers that keep their connections open until the peer closes them.
func newCallers(c *cluster, s Schedule) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &callers{
		cluster: c, schedule: s, client: &http.Client{Transport: transport, Timeout: requestTimeout + 500*time.Millisecond},
		ready: make([]atomic.Bool, len(c.vms)), overdue: make(chan struct{}),
	}
}

// probe checks the readiness of a VM once a second, as the load balancer does, until stop
// is closed. Two misses take a VM out of rotation.
func (cs *callers) probe(i int, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	url := "http://" + net.JoinHostPort(cs.cluster.vms[i].ip, strconv.Itoa(readinessPort)) + storeserver.ReadinessPath
	for misses := 0; ; {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		cs.ready[i].Store(misses < 2)
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pickVM returns a VM that is in rotation, or any if none is.
func (cs *callers) pickVM() int {
	var ready []int
	for i := range cs.ready {
		if cs.ready[i].Load() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return rand.IntN(len(cs.ready))
	}
	return ready[rand.IntN(len(ready))]
}

// response is the answer to a caller's request.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

// call makes a request without a key to a VM. Its error means that there is no whole answer.
func (cs *callers) call(vmIndex int, method, path string, body []byte) (response, error) {
	return cs.callWith("", vmIndex, method, path, body)
}

// callWith makes a request with a key, unless that is empty.
func (cs *callers) callWith(key string, vmIndex int, method, path string, body []byte) (response, error) {
	req, err := http.NewRequest(method, "http://"+cs.cluster.addr(7, vmIndex, callerPort)+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Host = host
	req.Header.Set(storeserver.DeadlineHeader, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if key != "" {
		storeserver.SetKey(req.Header, key)
	}
	resp, err := cs.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var data []byte
		if data, err = io.ReadAll(resp.Body); err == nil {
			seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
			return response{resp.StatusCode, data, time.Duration(seconds) * time.Second}, nil
		}
	}
	cs.unanswered.Add(1)
	return response{}, err
}

// job is one job of the callers.
type job struct {
	id         string
	path       string
	acceptedAt time.Time
	isCancel   bool
	// customer is the index of the job's customer, or -1 if it has none.
	customer int
	// submittedWith are the keys with which it was submitted.
	submittedWith []string
	steps         []fleet.Step
}

// drawJob draws the steps of a job and registers it with the fleet.
func (cs *callers) drawJob() (*job, []byte) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	queue := queues()[rand.IntN(2)]
	steps := 1 + rand.IntN(2)
	def := fleet.Job{ID: id, Spec: "spec-" + id, MaxAttempts: maxAttempts}
	var phases []map[string]any
	for i := range steps {
		s := fleet.Step{
			Count: 1 + rand.IntN(6), MilliCPU: 500 + rand.Int64N(5000), MemoryMB: 500 + rand.Int64N(4000),
			Duration: 100*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(700*time.Millisecond)),
			Gang:     rand.Float64() < 0.25, FailureRate: 0.03, NeedsTickets: queue.Advice != nil,
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		def.Steps = append(def.Steps, s)
		phases = append(phases, map[string]any{
			"Count": s.Count, "Cpu": s.MilliCPU, "MemMb": s.MemoryMB, "EstimatedMs": 900, "Gang": s.Gang, "DependsOn": s.DependsOn,
		})
	}
	if rand.Float64() < cs.schedule.LongShare {
		def.Steps[0].Duration = minLongTask + time.Duration(rand.Int64N(int64(minLongTask)))
	}
	customer := cs.cluster.drawCustomer()
	cs.cluster.fitSteps(customer, def.Steps, phases)
	cs.cluster.fleet.AddJob(def)
	body, err := json.Marshal(map[string]any{"Spec": def.Spec, "Phases": phases})
	if err != nil {
		cs.cluster.report("FAULT", "encode job: %v", err)
	}
	j := &job{id: id, path: cs.cluster.prefix(queue.PathPrefix, customer) + id, customer: customer, steps: def.Steps}
	if customer >= 0 {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.customerJobs = append(cs.customerJobs, j)
	}
	return j, body
}

// run submits jobs at a rate for a time, and returns when each accepted job has ended.
func (cs *callers) run(traffic time.Duration, perSecond float64) {
	for end := time.Now().Add(traffic); time.Now().Before(end); {
		cs.wg.Go(cs.runJob)
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
	cs.wg.Wait()
}

// runJob submits one job, follows it to its end and checks the end.
func (cs *callers) runJob() {
	j, body := cs.drawJob()
	cs.submitted.Add(1)
	if !cs.submit(j, body) {
		return
	}
	if delay, isCancelled := cs.drawCancellation(); isCancelled {
		time.Sleep(delay)
		j.isCancel = true
		cs.cancel(j)
	}
	cs.follow(j)
}

// drawCancellation draws whether a job is cancelled, and how long after its acceptance.
func (cs *callers) drawCancellation() (delay time.Duration, isCancelled bool) {
	share := cs.schedule.PromptCancelShare
	if share == 0 {
		return time.Duration(rand.Int64N(int64(defaultCancelDelay))), rand.Float64() < defaultCancelShare
	}
	delay = time.Duration(rand.Int64N(int64(promptCancelDelay)))
	if rand.Float64() < lateCancelShare {
		delay = visibleAfter + time.Duration(rand.Int64N(int64(lateCancelSpread)))
	}
	return delay, rand.Float64() < share
}

// pickCanceller returns the VM that is asked to cancel a job: with prompt cancellations a third
// each are sent to a small VM, and to the VM that has started last, in rotation or not.
func (cs *callers) pickCanceller() int {
	kind := rand.IntN(3)
	if cs.schedule.PromptCancelShare == 0 || kind == 0 {
		return cs.pickVM()
	}
	var candidates []int
	newest, newestStart := 0, time.Time{}
	for i, v := range cs.cluster.vms {
		v.mu.Lock()
		startedAt, isUp := v.startedAt, v.process != nil
		v.mu.Unlock()
		if isUp && v.isSmall {
			candidates = append(candidates, i)
		}
		if isUp && startedAt.After(newestStart) {
			newest, newestStart = i, startedAt
		}
	}
	if kind == 1 && len(candidates) > 0 {
		return candidates[rand.IntN(len(candidates))]
	}
	return newest
}

// submit submits a job until it is accepted or the caller gives up, and reports whether it
// was accepted.
func (cs *callers) submit(j *job, body []byte) (accepted bool) {
	allRefused := true
	attempts := submissionAttempts
	if rand.Float64() < impatientShare {
		attempts = 1
	}
	for range attempts {
		resp, err := cs.callFor(j, cs.pickVM(), http.MethodPost, body)
		switch {
		case err != nil || resp.status == http.StatusGatewayTimeout || resp.status == http.StatusBadGateway:
			allRefused = false
		case resp.status == http.StatusOK:
			j.acceptedAt = time.Now()
			cs.accepted.Add(1)
			return true
		case resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTooManyRequests:
			time.Sleep(min(resp.retryAfter, time.Second))
		case resp.status == http.StatusUnauthorized && j.customer >= 0:
			// The VM does not know the key yet, or any more; see judgeKeys.
		default:
			cs.cluster.report("FAULT", "submission of %s has status %d", j.id, resp.status)
		}
		time.Sleep(time.Duration(rand.Int64N(int64(300 * time.Millisecond))))
	}
	if allRefused {
		cs.rejected.Add(1)
		cs.cluster.fleet.RejectJob(j.id)
		return false
	}
	cs.unknown.Add(1)
	return false
}

// cancel cancels a job until that is acknowledged. A VM may not know the job until visibleAfter
// after its acceptance, so that a denial counts as an acknowledgement only later.
func (cs *callers) cancel(j *job) {
	for {
		i := cs.pickCanceller()
		resp, err := cs.callFor(j, i, http.MethodDelete, nil)
		now := time.Now()
		if err == nil && (resp.status == http.StatusOK || resp.status == http.StatusGone && now.Sub(j.acceptedAt) > visibleAfter) {
			cs.mu.Lock()
			defer cs.mu.Unlock()
			cs.cancellations = append(cs.cancellations, cancellation{j.id, j.acceptedAt, now, cs.cluster.vms[i].name, resp.status})
			return
		}
		if cs.isOverdue() {
			cs.cluster.report("LOST", "cancellation of %s is not acknowledged", j.id)
			return
		}
		time.Sleep(pollInterval)
	}
}

// isOverdue reports whether recoveryTimeout has passed since the faults ended.
func (cs *callers) isOverdue() bool {
	select {
	case <-cs.overdue:
		return true
	default:
		return false
	}
}

// follow asks for the state of an accepted job until it has ended, and once more later.
func (cs *callers) follow(j *job) {
	final := ""
	for asked := 0; asked < 3; {
		// A VM that does not reach the owner may answer from an older read, so that only
		// another final state is a broken rule.
		time.Sleep(pollInterval)
		state, known := cs.state(j)
		if cs.isOverdue() && final == "" {
			cs.cluster.report("LOST", "job %s has not ended %v after the faults: state %q", j.id, recoveryTimeout, state)
			return
		}
		if !known {
			continue
		}
		switch {
		case isFinal(state) && final != "" && state != final:
			cs.cluster.report("MIXED", "job %s was shown as %s and then as %q", j.id, final, state)
			return
		case isFinal(state):
			final = state
			asked++
		}
	}
	cs.judge(j, final)
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// state asks any VM for the state of a job. known is false if there is no answer. The state
// of a job that the VM denies is "".
func (cs *callers) state(j *job) (state string, known bool) {
	resp, err := cs.callFor(j, cs.pickVM(), http.MethodGet, nil)
	switch {
	case err == nil && resp.status == http.StatusUnauthorized && j.customer >= 0:
		return "", false
	case err != nil || resp.status == http.StatusServiceUnavailable || resp.status == http.StatusGatewayTimeout:
		return "", false
	case resp.status == http.StatusGone && !j.isCancel && time.Since(j.acceptedAt) > visibleAfter:
		cs.cluster.report("LOST", "accepted job %s is denied after %v", j.id, time.Since(j.acceptedAt).Round(time.Millisecond))
		return "", false
	case resp.status == http.StatusGone:
		return "", false
	case resp.status != http.StatusOK:
		cs.cluster.report("FAULT", "state of %s has status %d", j.id, resp.status)
		return "", false
	}
	var answer struct{ State string }
	if err := json.Unmarshal(resp.body, &answer); err != nil {
		cs.cluster.report("MIXED", "state of %s cannot be read: %q", j.id, resp.body)
		return "", false
	}
	return answer.State, true
}

// awaitStops waits until no task of a cancelled job runs.
func (cs *callers) awaitStops(j *job) {
	for running := cs.cluster.fleet.RunningTasks(j.id); len(running) > 0; running = cs.cluster.fleet.RunningTasks(j.id) {
		if cs.isOverdue() {
			cs.cluster.report("UNASKED", "tasks %v of cancelled job %s run %v after the faults", running, j.id, recoveryTimeout)
			return
		}
		time.Sleep(pollInterval)
	}
}

// judge checks the final state of a job against what the workers have seen.
func (cs *callers) judge(j *job, final string) {
	switch final {
	case "completed":
		cs.completed.Add(1)
		if done, missing := cs.cluster.fleet.IsDone(j.id); !done {
			cs.cluster.report("MIXED", "job %s is shown as completed, and %s is not done", j.id, missing)
		}
	case "failed":
		cs.failed.Add(1)
		if n := cs.cluster.fleet.FailedAttempts(j.id); n < maxAttempts {
			cs.cluster.report("LOST", "job %s is shown as failed after %d failed runs of a task, of %d", j.id, n, maxAttempts)
		}
	case "cancelled":
		cs.cancelled.Add(1)
		if !j.isCancel {
			cs.cluster.report("LOST", "job %s is shown as cancelled, and nobody cancelled it", j.id)
		}
		cs.awaitStops(j)
	}
}

// awaitNewestVersion waits until a VM has the newest configuration in force, and no route of
// the version before.
func (cs *callers) awaitNewestVersion(i int) {
	if cs.cluster.vms[i].isRemoved() {
		return
	}
	version := cs.cluster.newestVersion()
	isInForce := func(version int64, status int) bool {
		resp, err := cs.call(i, http.MethodGet, versionPath(version), nil)
		return err == nil && resp.status == status
	}
	for !isInForce(version, http.StatusOK) || !isInForce(version-1, http.StatusNotFound) {
		if cs.isOverdue() {
			cs.cluster.report("CONFIG", "%s does not have version %d in force %v after the faults", cs.cluster.vms[i].name, version, recoveryTimeout)
			return
		}
		time.Sleep(pollInterval)
	}
}

// watchVersions checks that no process of a VM goes back to an older configuration: the
// route of a version exists only while that version is in force.
func (cs *callers) watchVersions(i int, stop <-chan struct{}) {
	v := cs.cluster.vms[i]
	var process *process
	var newestSeen int64
	for {
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
		v.mu.Lock()
		current, isGone := v.process, v.isClosed
		v.mu.Unlock()
		if isGone {
			return
		}
		if current != process {
			process, newestSeen = current, 0
		}
		for version := cs.cluster.newestVersion(); version > 0 && version >= newestSeen-1; version-- {
			resp, err := cs.call(i, http.MethodGet, versionPath(version), nil)
			if err != nil || resp.status != http.StatusOK {
				continue
			}
			v.mu.Lock()
			isSame := v.process == process
			v.mu.Unlock()
			if isSame && version < newestSeen {
				cs.cluster.report("CONFIG", "%s has version %d in force after version %d", v.name, version, newestSeen)
			}
			newestSeen = max(newestSeen, version)
			break
		}
	}
}
