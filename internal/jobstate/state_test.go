package jobstate

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// bigPayload fills a snapshot part by itself.
var bigPayload = make([]byte, targetPartBytes)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func accept(id string, count int) records.Record {
	return records.Record{JobAccepted: &records.JobAccepted{Job: structs.Job{
		ID: id, AcceptedAt: epoch, Groups: []structs.TaskGroup{{Count: count}},
	}}}
}

func attempt(id string, index, number int, worker string) structs.Attempt {
	return structs.Attempt{Task: structs.TaskID{Job: id, Index: index}, Number: number, Worker: worker}
}

func start(a structs.Attempt, term int64) records.Record {
	return records.Record{TaskStart: &records.TaskStart{Attempt: a, Term: term}}
}

func end(a structs.Attempt, result records.TaskResult, term int64) records.Record {
	return records.Record{TaskEnd: &records.TaskEnd{Attempt: a, Result: result, Term: term}}
}

func cancel(id string) records.Record {
	return records.Record{JobCancelled: &records.JobCancelled{Job: id}}
}

func move(id string, term int64) records.Record {
	return records.Record{JobMoved: &records.JobMoved{Job: id, To: "krk-b", Term: term}}
}

// Guards against a record that takes effect although an earlier record or its
// own term forbids it. Either fault can run a second copy of a task.
func TestValidity(t *testing.T) {
	first := attempt("j", 0, 1, "w1")
	second := attempt("j", 0, 2, "w2")
	cases := []struct {
		name   string
		before []records.Record
		last   records.Record
		want   EffectKind
	}{
		{"repeated acceptance", []records.Record{accept("j", 1)}, accept("j", 2), Ignored},
		{"cancel before acceptance", []records.Record{cancel("j")}, accept("j", 1), Refused},
		{"job without tasks", nil, accept("j", 0), Refused},
		{"first start", []records.Record{accept("j", 1)}, start(first, 1), TaskStarted},
		{"start of unknown task", []records.Record{accept("j", 1)}, start(attempt("j", 1, 1, "w1"), 1), Refused},
		{"second start of live task", []records.Record{accept("j", 1), start(first, 1)}, start(second, 1), Refused},
		{"attempt number skipped", []records.Record{accept("j", 1)}, start(second, 1), Refused},
		{"attempt number repeated", []records.Record{accept("j", 1), start(first, 1), end(first, records.TaskFailed, 1)}, start(first, 1), Refused},
		{"next attempt", []records.Record{accept("j", 1), start(first, 1), end(first, records.TaskFailed, 1)}, start(second, 1), TaskStarted},
		{"start after success", []records.Record{accept("j", 1), start(first, 1), end(first, records.TaskSucceeded, 1)}, start(second, 1), Refused},
		{"start after cancel", []records.Record{accept("j", 1), cancel("j")}, start(first, 1), Refused},
		{"start of a former term", []records.Record{accept("j", 2), start(attempt("j", 1, 1, "w1"), 7)}, start(first, 6), Refused},
		{"refused start raises the term", []records.Record{accept("j", 1), start(second, 9)}, start(first, 8), Refused},
		{"end of another attempt", []records.Record{accept("j", 1), start(first, 1)}, end(second, records.TaskSucceeded, 1), Refused},
		{"success reported by a former owner", []records.Record{accept("j", 2), start(first, 1), start(attempt("j", 1, 1, "w1"), 2)}, end(first, records.TaskSucceeded, 1), TaskEnded},
		{"loss assumed by a former owner", []records.Record{accept("j", 2), start(first, 1), start(attempt("j", 1, 1, "w1"), 2)}, end(first, records.TaskLost, 1), Refused},
		{"move of a started job", []records.Record{accept("j", 1), start(first, 1), end(first, records.TaskLost, 1)}, move("j", 1), Refused},
		{"start after move", []records.Record{accept("j", 1), move("j", 1)}, start(first, 1), Refused},
		{"cancel after move", []records.Record{accept("j", 1), move("j", 1)}, cancel("j"), Refused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			for i, r := range c.before {
				s.Apply(int64(i), epoch, r)
			}
			got := s.Apply(int64(len(c.before)), epoch, c.last)
			is.Equal(got.Kind, c.want)
		})
	}
}

// Guards against a second attempt of a task that must run at most once, and
// against counting a start that the worker did not carry out as an attempt that
// ran.
func TestNonIdempotentIsNotRepeated(t *testing.T) {
	for result, want := range map[records.TaskResult]TaskState{
		records.TaskFailed: Failed, records.TaskLost: Failed, records.TaskStopped: Failed,
		records.TaskNotStarted: Pending, records.TaskSucceeded: Succeeded,
	} {
		is := is.New(t)
		s := New()
		r := accept("j", 1)
		r.JobAccepted.Job.NonIdempotent = true
		a := attempt("j", 0, 1, "w")
		s.Apply(0, epoch, r)
		s.Apply(1, epoch, start(a, 1))
		is.Equal(s.Apply(2, epoch, end(a, result, 1)).TaskState, want)
	}
}

// Guards against an unbounded number of attempts when all attempts of a large job
// fail on many workers.
func TestAttemptsOfFailingJobAreBounded(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, epoch, accept("j", 1000))
	attempts := 0
	for {
		pending := s.PendingTasks()
		if len(pending) == 0 {
			break
		}
		id := pending[attempts%len(pending)]
		st, _ := s.Status("j")
		a := structs.Attempt{Task: id, Number: st.Tasks[id.Index].Attempt + 1, Worker: fmt.Sprint("w", attempts%7)}
		s.Apply(s.Next(), epoch, start(a, 1))
		s.Apply(s.Next(), epoch, end(a, records.TaskFailed, 1))
		attempts++
	}
	is.Equal(attempts, MaxJobFailures)
	status, _ := s.Status("j")
	is.True(status.Finished)
}

// Guards against finished jobs that are never pruned, and against a repeated
// acceptance that adds a pruned job again.
func TestPruning(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, epoch, accept("j", 1))
	s.Apply(1, epoch, cancel("j"))
	s.Apply(2, epoch.Add(FinishedRetention), cancel("x"))
	_, known := s.Status("j")
	is.True(known)
	s.Apply(3, epoch.Add(FinishedRetention+time.Second), cancel("x"))
	_, known = s.Status("j")
	is.True(!known)
	is.Equal(s.Apply(4, epoch.Add(FinishedRetention+time.Second), accept("j", 1)).Kind, Refused)
}

// drawRecord draws a record from few jobs, tasks, workers and terms, so that
// duplicates, stale terms and conflicting starts are frequent.
func drawRecord(t *rapid.T) records.Record {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job")
	a := attempt(id, rapid.IntRange(0, 2).Draw(t, "index"), rapid.IntRange(1, 3).Draw(t, "number"),
		rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker"))
	term := int64(rapid.IntRange(1, 3).Draw(t, "term"))
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1:
		r := accept(id, 2)
		r.JobAccepted.Job.NonIdempotent = id == "c"
		// The payload fills a part, so each job is in its own part.
		r.JobAccepted.Job.Groups[0].Payload = bigPayload
		return r
	case 2:
		return cancel(id)
	case 3:
		return move(id, term)
	case 4, 5, 6:
		return start(a, term)
	}
	return end(a, rapid.SampledFrom([]records.TaskResult{
		records.TaskSucceeded, records.TaskFailed, records.TaskLost, records.TaskNotStarted,
	}).Draw(t, "result"), term)
}

// encoded returns the snapshot of a state as text, to compare states.
func encoded(t *rapid.T, s *State) string {
	parts, err := s.Encode("cmp", 0)
	if err != nil {
		t.Fatal(err)
	}
	data, _ := json.Marshal(parts)
	return string(data)
}

// Guards against a reader that starts from a snapshot and reaches another state
// than one that read every record. The offset at which it starts and the records
// between the end of the snapshot and its parts vary.
func TestSnapshotPlusTailEqualsFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := New()
		var log []logEntry
		add := func(r records.Record) {
			offset := int64(len(log))
			at := epoch.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "hours")) * time.Hour)
			log = append(log, logEntry{offset, at, r})
			whole.Apply(offset, at, r)
		}
		for range rapid.IntRange(1, 30).Draw(t, "before") {
			add(drawRecord(t))
		}
		parts, err := whole.Encode("s", 1)
		if err != nil {
			t.Fatal(err)
		}
		lastIncluded := parts[0].LastIncludedOffset
		for range rapid.IntRange(0, 5).Draw(t, "between") {
			add(drawRecord(t))
		}
		for i := range parts {
			add(records.Record{JobSnapshot: &parts[i]})
		}
		for range rapid.IntRange(0, 20).Draw(t, "after") {
			add(drawRecord(t))
		}
		reader := New()
		first := rapid.Int64Range(1, lastIncluded+1).Draw(t, "first")
		for _, e := range log[first:] {
			reader.Apply(e.offset, e.at, e.record)
		}
		if !reader.Complete() {
			t.Fatal("reader is incomplete after it read all parts of a snapshot")
		}
		if encoded(t, reader) != encoded(t, whole) {
			t.Fatalf("states differ:\n%s\n%s", encoded(t, reader), encoded(t, whole))
		}
	})
}

// Guards against two live attempts of a task, and against a start after the job
// was cancelled or after the task reached a final state.
func TestOneLiveAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		live := map[structs.TaskID]structs.Attempt{}
		closed := map[structs.TaskID]bool{}
		cancelled := map[string]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "n") {
			effect := s.Apply(int64(i), epoch, drawRecord(t))
			id := effect.Attempt.Task
			switch effect.Kind {
			case JobCancelled:
				cancelled[effect.Job] = true
			case TaskStarted:
				if _, running := live[id]; running || closed[id] || cancelled[id.Job] {
					t.Fatalf("start of %v: running %v, closed %v, cancelled %v", id, running, closed[id], cancelled[id.Job])
				}
				live[id] = effect.Attempt
			case TaskEnded:
				if live[id] != effect.Attempt {
					t.Fatalf("end of %v, but the live attempt is %v", effect.Attempt, live[id])
				}
				delete(live, id)
				closed[id] = effect.TaskState != Pending
			}
		}
		n := 0
		for _, attempts := range s.Running() {
			n += len(attempts)
		}
		if n != len(live) {
			t.Fatalf("%d live attempts, want %d", n, len(live))
		}
	})
}
