package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/caller"
	"gypsumwinch/standin/control"
)

// fakeEntryVM is a server for POST /v1/requests that answers the first send of
// each id with "not run" and later sends with answer.
type fakeEntryVM struct {
	mu     sync.Mutex
	sends  map[string]int
	answer func(body callerapi.RequestBody) callerapi.Answer
}

// ServeHTTP implements http.Handler.
func (e *fakeEntryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body callerapi.RequestBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.sends[body.ID]++
	first := e.sends[body.ID] == 1
	e.mu.Unlock()
	answer := e.answer(body)
	if first {
		answer = callerapi.Answer{ID: body.ID, Status: structs.StatusNotRun, RetryAfterMS: 1}
	}
	w.Header().Set("X-Wait-Start-Ms", "5")
	json.NewEncoder(w).Encode(answer)
}

// sendOne sends a trace of one request to a fakeEntryVM with the given answer.
func sendOne(t *testing.T, answer func(callerapi.RequestBody) callerapi.Answer) (*fakeEntryVM, *results) {
	e := &fakeEntryVM{sends: make(map[string]int), answer: answer}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	s := &sender{
		caller: caller.New([]string{server.Listener.Addr().String()}, 5, time.Minute),
		speed:  1, results: newResults(),
	}
	s.run(t.Context(), []Event{{Request: &RequestEvent{Class: "c", Payload: json.RawMessage(`{"size":100}`)}}})
	return e, s.results
}

// Guards against a retry under a new id: a second run of the same request would
// then look like the run of another request.
func TestRetryKeepsID(t *testing.T) {
	is := is.New(t)
	e, r := sendOne(t, func(body callerapi.RequestBody) callerapi.Answer {
		return callerapi.Answer{ID: body.ID, Status: structs.StatusCompleted, Body: control.Answer(body.Payload)}
	})
	is.Equal(len(e.sends), 1)
	is.Equal(e.sends[r.requests[0].ID], 2)
	is.Equal(len(r.problems), 0)
	is.Equal(r.classes["c"].completed, 1)
}

// Guards against accepting an answer that has another id, is cut short or has no
// status.
func TestWrongAnswersAreProblems(t *testing.T) {
	for name, answer := range map[string]func(callerapi.RequestBody) callerapi.Answer{
		"other id": func(body callerapi.RequestBody) callerapi.Answer {
			return callerapi.Answer{ID: "other", Status: structs.StatusCompleted, Body: control.Answer(body.Payload)}
		},
		"partial": func(body callerapi.RequestBody) callerapi.Answer {
			return callerapi.Answer{ID: body.ID, Status: structs.StatusCompleted, Body: control.Answer(body.Payload)[:50]}
		},
		"no status": func(body callerapi.RequestBody) callerapi.Answer {
			return callerapi.Answer{ID: body.ID}
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, r := sendOne(t, answer)
			is.New(t).Equal(len(r.problems), 1)
		})
	}
}
