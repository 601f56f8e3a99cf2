package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const clientTimeout = 3 * time.Second

// body returns the body of a submission. Fields whose value is 0 are omitted.
func (j *jobInfo) body() []byte {
	phases := make([]map[string]any, 0, len(j.Steps))
	for _, s := range j.Steps {
		p := map[string]any{}
		if s.Count > 0 {
			p["Count"], p["Cpu"], p["MemMb"], p["EstimatedMs"] = s.Count, s.MilliCPU, 100, s.Duration.Milliseconds()
		}
		if len(s.DependsOn) > 0 {
			p["DependsOn"] = s.DependsOn
		}
		if s.Lasting {
			p["LongRunning"] = true
			if s.MayMiss > 0 {
				p["MayMiss"] = s.MayMiss
			}
		}
		phases = append(phases, p)
	}
	b := map[string]any{"Spec": j.Spec, "Phases": phases}
	if j.Repeat > 0 {
		b["RepeatCount"], b["FirstRunMs"], b["IntervalMs"] = j.Repeat, j.FirstRun.UnixMilli(), j.Interval.Milliseconds()
	}
	out, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return out
}

// call makes one call of a client at a VM; status 0 is no answer.
func (l *lab) call(v *vm, method, path string, body []byte) (status int, answer []byte) {
	req, err := http.NewRequest(method, v.url(path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Gypsumwinch-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	client := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// submit hands a job in: it tries up to four more times, each at the next VM.
func (l *lab) submit(j *jobInfo, first int) {
	l.fleet.addJob(j)
	body := j.body()
	for try := range 5 {
		v := l.vms[(first+try)%len(l.vms)]
		status, _ := l.call(v, http.MethodPost, "/batch/"+j.ID, body)
		l.rec.logf("POST %s (%d bytes, %d steps, RepeatCount %d) at %s: %d", j.ID, len(body), len(j.Steps), j.Repeat, v.name, status)
		if status == http.StatusOK {
			l.fleet.mu.Lock()
			j.IsAccepted = true
			l.fleet.mu.Unlock()
			return
		}
		if status >= 400 && status != 429 && status < 500 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// state asks for the state of a job, at each VM in turn until one answers; "" is no answer.
func (l *lab) state(id string, first int) string {
	for try := range len(l.vms) {
		v := l.vms[(first+try)%len(l.vms)]
		status, answer := l.call(v, http.MethodGet, "/batch/"+id, nil)
		switch status {
		case http.StatusOK:
			var s struct{ State string }
			_ = json.Unmarshal(answer, &s)
			return s.State
		case http.StatusGone:
			return "410"
		}
	}
	return ""
}
