package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumwinch/internal/dispatch"
	"gypsumwinch/internal/structs"
)

var testClasses = []structs.Class{
	{Name: "lookup", StartTarget: 100 * time.Millisecond, FinishTarget: time.Second},
	{Name: "match", StartTarget: 20 * time.Second, FinishTarget: time.Minute, NonIdempotent: true},
	{Name: "analysis", StartTarget: time.Minute, FinishTarget: 10 * time.Minute},
}

// model checks the invariants over the dispatcher's actions. It knows what the
// daemon knows and nothing of the dispatcher's state.
type model struct {
	d       *dispatch.Dispatcher
	now     time.Duration
	held    map[string]int
	expires map[string]time.Duration
	health  map[string]dispatch.Health
	live    map[string]dispatch.Send
	inUse   map[string]int
	entries map[string]*entry
	order   []string
}

type entry struct {
	dispatch.Enqueue
	seq     int
	logged  bool
	asked   bool
	sends   int
	refused int
	ran     bool
	final   string
}

func newModel(seed uint64) *model {
	return &model{
		d: dispatch.New(dispatch.Options{
			Seed: seed, DataCentre: "krk-a", Classes: testClasses,
		}),
		held:    make(map[string]int),
		expires: make(map[string]time.Duration),
		health:  make(map[string]dispatch.Health),
		live:    make(map[string]dispatch.Send),
		inUse:   make(map[string]int),
		entries: make(map[string]*entry),
	}
}

func (m *model) apply(t failer, ev dispatch.Event) {
	for _, a := range m.d.Apply(m.now, ev) {
		m.check(t, a)
	}
}

type failer interface {
	Fatalf(format string, args ...any)
}

func (m *model) check(t failer, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Send:
		m.checkSend(t, a)
	case dispatch.Complete:
		m.finish(t, a.ID, "complete")
	case dispatch.ReportUnknown:
		m.finish(t, a.ID, "unknown")
	case dispatch.Reject:
		m.finish(t, a.ID, "not run")
		if m.entries[a.ID].ran {
			t.Fatalf("%s was sent, may have run, and is reported as not run", a.ID)
		}
	case dispatch.LogStart:
		if e := m.entries[a.ID]; e.asked || !e.MustLogStart {
			t.Fatalf("unexpected LogStart of %s", a.ID)
		}
		m.entries[a.ID].asked = true
	case dispatch.Abort:
		if m.entries[a.ID].NonIdempotent {
			t.Fatalf("non-idempotent %s is aborted", a.ID)
		}
		if m.live[a.ID].Attempt != a.Attempt {
			t.Fatalf("attempt %d of %s is aborted but not live", a.Attempt, a.ID)
		}
	}
}

func (m *model) checkSend(t failer, a dispatch.Send) {
	e := m.entries[a.ID]
	if e.final != "" {
		t.Fatalf("%s is sent after its final answer", a.ID)
	}
	if _, ok := m.live[a.ID]; ok {
		t.Fatalf("%s has two live attempts", a.ID)
	}
	if e.MustLogStart && !e.logged {
		t.Fatalf("%s is sent before its start is logged", a.ID)
	}
	if e.NonIdempotent && e.sends > e.refused {
		t.Fatalf("non-idempotent %s is sent again after it may have run", a.ID)
	}
	if m.inUse[a.Server] >= m.held[a.Server] {
		t.Fatalf("send to %s beyond the %d held slots", a.Server, m.held[a.Server])
	}
	if m.now >= m.expires[a.Server]-dispatch.ExpiryMargin {
		t.Fatalf("send to %s under a lapsed lease", a.Server)
	}
	if h := m.health[a.Server]; h != "" && h != dispatch.HealthLive {
		t.Fatalf("send to %s server %s", h, a.Server)
	}
	for _, id := range m.order {
		o := m.entries[id]
		_, running := m.live[id]
		if o.seq < e.seq && o.Class == e.Class && o.final == "" && !running && (!o.MustLogStart || o.logged) {
			t.Fatalf("%s is sent before %s of the same class", a.ID, id)
		}
	}
	e.sends++
	m.live[a.ID] = a
	m.inUse[a.Server]++
}

func (m *model) finish(t failer, id, status string) {
	e := m.entries[id]
	if e.final != "" {
		t.Fatalf("%s is answered twice: %s, %s", id, e.final, status)
	}
	if _, ok := m.live[id]; ok {
		t.Fatalf("%s is answered while an attempt is live", id)
	}
	e.final = status
}

func (m *model) enqueue(t failer, class string, nonIdempotent, held bool) {
	id := fmt.Sprintf("r%d", len(m.order))
	ev := dispatch.Enqueue{ID: id, Class: class, NonIdempotent: nonIdempotent, MustLogStart: held, At: m.now}
	m.entries[id] = &entry{Enqueue: ev, seq: len(m.order)}
	m.order = append(m.order, id)
	m.apply(t, ev)
}

func (m *model) end(t failer, id string, result dispatch.Result) {
	a := m.live[id]
	delete(m.live, id)
	m.inUse[a.Server]--
	if result == dispatch.ResultRefused {
		m.entries[id].refused++
	} else {
		m.entries[id].ran = true
	}
	m.apply(t, dispatch.Finished{ID: id, Attempt: a.Attempt, Result: result})
}

func (m *model) liveIDs() []string {
	var ids []string
	for _, id := range m.order {
		if _, ok := m.live[id]; ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestInvariants guards against sends beyond the held slots, under a lapsed
// lease or to a leaving server, against overtaking within a class, against a
// second run of non-idempotent work, and against requests that get no final
// answer or two, under any order of events with duplicated and late Finished.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"))
		results := rapid.SampledFrom([]dispatch.Result{
			dispatch.ResultOK, dispatch.ResultOK, dispatch.ResultOK, dispatch.ResultRefused,
			dispatch.ResultFailed, dispatch.ResultLost, dispatch.ResultAborted,
		})
		servers := rapid.SampledFrom([]string{"s0", "s1", "s2", "far"})
		centre := func(s string) string {
			if s == "far" {
				return "kat-a"
			}
			return "krk-a"
		}
		ids := func(t *rapid.T) string {
			if len(m.order) == 0 {
				t.Skip("no request yet")
			}
			return rapid.SampledFrom(m.order).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				class := rapid.SampledFrom(testClasses).Draw(t, "class")
				nonIdempotent := class.NonIdempotent || rapid.IntRange(0, 9).Draw(t, "once") == 0
				m.enqueue(t, class.Name, nonIdempotent, nonIdempotent && rapid.Bool().Draw(t, "held"))
			},
			"duplicate": func(t *rapid.T) {
				e := m.entries[ids(t)]
				if e.final == "" {
					m.apply(t, e.Enqueue)
				}
			},
			"logged": func(t *rapid.T) {
				e := m.entries[ids(t)]
				if e.asked && e.final == "" {
					e.logged = true
					m.apply(t, dispatch.StartLogged{ID: e.ID})
				}
			},
			"cancel": func(t *rapid.T) {
				m.apply(t, dispatch.Cancel{ID: ids(t), Reason: "caller has gone"})
			},
			"finish": func(t *rapid.T) {
				live := m.liveIDs()
				if len(live) == 0 {
					t.Skip("nothing runs")
				}
				m.end(t, rapid.SampledFrom(live).Draw(t, "live"), results.Draw(t, "result"))
			},
			"stale finish": func(t *rapid.T) {
				id := ids(t)
				number := rapid.IntRange(0, 5).Draw(t, "attempt")
				if m.live[id].Attempt == number {
					t.Skip("not stale")
				}
				m.apply(t, dispatch.Finished{ID: id, Attempt: number, Result: results.Draw(t, "result")})
			},
			"slots": func(t *rapid.T) {
				s := servers.Draw(t, "server")
				m.held[s] = rapid.IntRange(0, 3).Draw(t, "count")
				m.expires[s] = m.now + time.Duration(rapid.IntRange(0, 10000).Draw(t, "ms"))*time.Millisecond
				m.apply(t, dispatch.SlotsChanged{
					Server: s, DataCentre: centre(s), Count: m.held[s], Expires: m.expires[s],
				})
			},
			"health": func(t *rapid.T) {
				s := servers.Draw(t, "server")
				m.health[s] = rapid.SampledFrom([]dispatch.Health{
					dispatch.HealthLive, dispatch.HealthLive, dispatch.HealthLeaving, dispatch.HealthFailing,
				}).Draw(t, "health")
				m.apply(t, dispatch.ServerChanged{Server: s, DataCentre: centre(s), Health: m.health[s]})
			},
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
				m.apply(t, dispatch.Tick{})
			},
		})
		m.drain(t)
	})
}

// drain lets everything end and requires one final answer for each request.
func (m *model) drain(t failer) {
	for range 100 * (len(m.order) + 1) {
		m.now += 10 * time.Second
		m.health["s0"] = dispatch.HealthLive
		m.held["s0"], m.expires["s0"] = 3, m.now+10*time.Second
		m.apply(t, dispatch.ServerChanged{Server: "s0", DataCentre: "krk-a", Health: dispatch.HealthLive})
		m.apply(t, dispatch.SlotsChanged{Server: "s0", DataCentre: "krk-a", Count: 3, Expires: m.expires["s0"]})
		open := 0
		for _, id := range m.order {
			e := m.entries[id]
			if e.asked && !e.logged && e.final == "" {
				e.logged = true
				m.apply(t, dispatch.StartLogged{ID: id})
			}
			if e.final == "" {
				open++
			}
		}
		if open == 0 {
			return
		}
		for _, id := range m.liveIDs() {
			m.end(t, id, dispatch.ResultOK)
		}
		m.apply(t, dispatch.Tick{})
	}
	t.Fatalf("a request has no final answer after all attempts ended")
}
