package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gypsumwinch/standin/fleet"
)

const (
	// keyTrialInterval is the time between two calls with a key that is not valid.
	keyTrialInterval = 100 * time.Millisecond
	// maxReported is the number of broken rules of one kind that are reported in full.
	maxReported = 3
	// trialPrefix is the path prefix of calls that try keys.
	trialPrefix = "/plain/"
)

// keyAnswer is the answer to a call with a key.
type keyAnswer struct {
	key                string
	vm                 string
	method             string
	sentAt, answeredAt time.Time
	status             int
	// mustBeExact is true if the newest version was certainly in force.
	mustBeExact bool
}

// refusesKey reports whether the VM took the key for one that is not valid.
func (a keyAnswer) refusesKey() bool { return a.status == http.StatusUnauthorized }

// showsKey reports whether a status shows what the VM thought of the key. Without a
// configuration it answers 503.
func showsKey(status int) bool {
	return status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout && status != http.StatusBadGateway
}

// callFor makes a call for a job, with one of the keys that its customer has in the newest version.
func (cs *callers) callFor(j *job, vmIndex int, method string, body []byte) (response, error) {
	if j.customer < 0 {
		return cs.call(vmIndex, method, j.path, body)
	}
	owner := cs.cluster.customers.current()[j.customer]
	keys := owner.validKeys()
	key := keys[rand.IntN(len(keys))]
	if method == http.MethodPost {
		j.submittedWith = append(j.submittedWith, key)
	}
	return cs.tryKey(key, vmIndex, method, j.path, body, false)
}

// hasMovedKey reports whether a job was submitted with a key that has had several customers: it
// is not certain for which of them the job was accepted.
func (b *customerBook) hasMovedKey(j *job) bool {
	return slices.ContainsFunc(j.submittedWith, func(key string) bool { return b.keys[key] != nil && b.keys[key].isMoved })
}

// tryKey makes a call with a key and records the answer.
func (cs *callers) tryKey(key string, vmIndex int, method, path string, body []byte, mustBeExact bool) (response, error) {
	a := keyAnswer{key: key, vm: cs.cluster.vms[vmIndex].name, method: method, sentAt: time.Now(), mustBeExact: mustBeExact}
	resp, err := cs.callWith(key, vmIndex, method, path, body)
	if err == nil && showsKey(resp.status) {
		a.answeredAt, a.status = time.Now(), resp.status
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.keyAnswers = append(cs.keyAnswers, a)
	}
	return resp, err
}

// tryKeys calls any VM with keys that are not valid until stop is closed: none, one that no
// version has had, and revoked ones. A job that is submitted so and not accepted must never run.
func (cs *callers) tryKeys(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(keyTrialInterval):
		}
		i := rand.IntN(len(cs.cluster.vms))
		if cs.cluster.vms[i].isRemoved() {
			continue
		}
		keys := append(cs.cluster.customers.revokedKeys(), "", fmt.Sprintf(keyPrefix+"%016x", rand.Uint64()))
		key := keys[rand.IntN(len(keys))]
		method := []string{http.MethodPost, http.MethodGet, http.MethodDelete}[rand.IntN(3)]
		id := fmt.Sprintf("%016x", rand.Uint64())
		step := fleet.Step{Count: 1, MilliCPU: 100, MemoryMB: 100, Duration: 100 * time.Millisecond}
		cs.cluster.fleet.AddJob(fleet.Job{ID: id, Spec: "spec-" + id, Steps: []fleet.Step{step}, MaxAttempts: maxAttempts})
		body, err := json.Marshal(map[string]any{"Spec": "spec-" + id, "Phases": []map[string]any{{"Count": 1, "Cpu": step.MilliCPU, "MemMb": step.MemoryMB}}})
		if err != nil {
			cs.cluster.report("FAULT", "encode job: %v", err)
		}
		if method != http.MethodPost {
			body = nil
		}
		resp, err := cs.tryKey(key, i, method, trialPrefix+id, body, false)
		if method == http.MethodPost && err == nil && (resp.status == http.StatusUnauthorized || resp.status == http.StatusServiceUnavailable) {
			cs.cluster.fleet.RejectJob(id)
		}
	}
}

// revokedKeys returns the keys that the newest version does not have any more.
func (b *customerBook) revokedKeys() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []string
	for key, record := range b.keys {
		if !record.revokedAt.IsZero() {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// tryAllKeys calls each VM with each key that any version has had. It runs once all VMs have the
// newest version in force, so that its verdict depends on no time.
func (cs *callers) tryAllKeys() {
	keys := cs.cluster.customers.revokedKeys()
	for _, c := range cs.cluster.customers.current() {
		keys = append(keys, c.validKeys()...)
	}
	for i, v := range cs.cluster.vms {
		for _, key := range keys {
			if !v.isRemoved() {
				_, _ = cs.tryKey(key, i, http.MethodGet, trialPrefix, nil, true)
			}
		}
	}
}

// appliedBy returns the time by which a version that was acknowledged earlier is in force on every
// VM: the end of the first calm stretch after it. ok is false if there was none or the bound is not
// checked.
func (c *cluster) appliedBy(acknowledgedAt, now time.Time) (at time.Time, ok bool) {
	if !c.checksApplyBound {
		return time.Time{}, false
	}
	begin, ok := calmStretch(c.faultSpans, acknowledgedAt, now)
	return begin.Add(stopBound), ok
}

// judgeKeys checks the answers to calls with keys.
func (cs *callers) judgeKeys() {
	reported := 0
	for _, a := range cs.keyAnswers {
		fault := cs.judgeKey(a)
		if fault == "" {
			continue
		}
		if reported++; reported <= maxReported {
			cs.cluster.reportAt(a.sentAt, "KEY", "%s answers %d to %s with %s", a.vm, a.status, a.method, fault)
		}
	}
	if reported > maxReported {
		cs.cluster.report("KEY", "%d answers in all", reported)
	}
}

// judgeKey returns what is wrong with an answer, or "".
func (cs *callers) judgeKey(a keyAnswer) string {
	now := time.Now()
	record := cs.cluster.customers.keys[a.key]
	if record == nil {
		if a.refusesKey() {
			return ""
		}
		return "a key that no version has had"
	}
	isRevoked := !record.revokedAt.IsZero()
	if !a.refusesKey() {
		bound, ok := cs.cluster.appliedBy(record.revokedAt, now)
		if isRevoked && (a.mustBeExact || ok && a.sentAt.After(bound)) {
			return fmt.Sprintf("a key that was revoked %v before", a.sentAt.Sub(record.revokedAt).Round(time.Millisecond))
		}
		return ""
	}
	bound, ok := cs.cluster.appliedBy(record.addedAt, now)
	wasValid := !isRevoked || a.answeredAt.Before(record.revokingAt)
	if wasValid && (a.mustBeExact || ok && a.sentAt.After(bound)) {
		return fmt.Sprintf("a key that was added %v before", a.sentAt.Sub(record.addedAt).Round(time.Millisecond))
	}
	return ""
}

// judgeLogs checks that no key is in the logs of the VMs.
func (c *cluster) judgeLogs() {
	for _, v := range c.vms {
		data, err := os.ReadFile(filepath.Join(c.dir, v.name+".log"))
		if err != nil {
			c.report("FAULT", "read log: %v", err)
		}
		if bytes.Contains(data, []byte(keyPrefix)) {
			c.report("KEY", "the log of %s has a key", v.name)
		}
	}
}

// judgeQuotas checks that no start brought what a customer had running above its quota, the
// overshoot and the size of one task. Of the versions that may have been in force the highest
// quota counts. It returns the number of starts that it judged.
func (cs *callers) judgeQuotas() (judged int) {
	for i, c := range cs.cluster.customers.current() {
		var runs []sizedRun
		for _, j := range cs.customerJobs {
			if j.customer == i && !cs.cluster.customers.hasMovedKey(j) {
				runs = append(runs, cs.cluster.sizedRuns(j)...)
			}
		}
		judged += cs.cluster.judgeQuota(i, c.name, runs)
	}
	return judged
}

// sizedRun is a run with the step of its task.
type sizedRun struct {
	fleet.Run
	step fleet.Step
}

func (c *cluster) sizedRuns(j *job) []sizedRun {
	var runs []sizedRun
	for _, r := range c.fleet.Runs(j.id) {
		var step, index int
		if _, err := fmt.Sscanf(r.Task[len(j.id):], ".0.%d.%d", &step, &index); err != nil {
			c.report("FAULT", "task name %q: %v", r.Task, err)
			continue
		}
		runs = append(runs, sizedRun{r, j.steps[step]})
	}
	return runs
}

// judgeQuota judges the starts of one customer.
func (c *cluster) judgeQuota(index int, name string, runs []sizedRun) (judged int) {
	slices.SortFunc(runs, func(a, b sizedRun) int { return a.StartedAt.Compare(b.StartedAt) })
	var active []sizedRun
	reported := 0
	for _, r := range runs {
		active = slices.DeleteFunc(active, func(o sizedRun) bool { return !o.EndedAt.IsZero() && !o.EndedAt.After(r.StartedAt) })
		active = append(active, r)
		var milliCPU, memoryMB int64
		for _, o := range active {
			milliCPU += o.step.MilliCPU
			memoryMB += o.step.MemoryMB
		}
		quotaCPU, quotaMemory := c.highestQuota(index, r.StartedAt)
		judged++
		if withinQuota(milliCPU, quotaCPU, r.step.MilliCPU) && withinQuota(memoryMB, quotaMemory, r.step.MemoryMB) {
			continue
		}
		if reported++; reported <= maxReported {
			c.reportAt(r.StartedAt, "QUOTA", "run %d of %s starts on %s: %s has %d milli-CPU and %d MB running, its quota is %d and %d",
				r.Number, r.Task, r.Worker, name, milliCPU, memoryMB, quotaCPU, quotaMemory)
		}
	}
	if reported > maxReported {
		c.report("QUOTA", "%d starts of %s in all, of %d", reported, name, judged)
	}
	return judged
}

func withinQuota(running, quota, task int64) bool {
	return float64(running) <= float64(quota)*(1+quotaOvershoot)+float64(task)
}

// highestQuota returns the highest quota of a customer among the versions that may be in force at
// a time: those that were sent, except those that a later version had replaced on every VM.
func (c *cluster) highestQuota(index int, at time.Time) (milliCPU, memoryMB int64) {
	versions := c.customers.versions
	for i, v := range versions {
		if v.sentAt.After(at) {
			break
		}
		if i+1 < len(versions) {
			if end, ok := c.appliedBy(versions[i+1].acknowledgedAt, time.Now()); ok && at.After(end) {
				continue
			}
		}
		milliCPU, memoryMB = max(milliCPU, v.customers[index].milliCPU), max(memoryMB, v.customers[index].memoryMB)
	}
	return milliCPU, memoryMB
}
