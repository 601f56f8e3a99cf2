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

// model checks the invariants of the dispatcher's actions. It uses only what the
// daemon also sees, and nothing of the dispatcher's state.
type model struct {
	d            *dispatch.Dispatcher
	now          time.Duration
	heldSlots    map[string]int
	leaseExpiry  map[string]time.Duration
	health       map[string]dispatch.Health
	liveAttempts map[string]dispatch.Send
	inUse        map[string]int
	requests     map[string]*trackedRequest
	// ids lists the requests in the order of arrival.
	ids []string
}

// trackedRequest is what the model records of one request.
type trackedRequest struct {
	dispatch.Enqueue
	seq           int
	isStartLogged bool
	hasLogStart   bool
	sendCount     int
	refusedCount  int
	mayHaveRun    bool
	// finalStatus is empty until the final answer.
	finalStatus string
}

func newModel(seed uint64) *model {
	return &model{
		d: dispatch.New(dispatch.Options{
			Seed: seed, DataCentre: "krk-a", Classes: testClasses,
		}),
		heldSlots:    make(map[string]int),
		leaseExpiry:  make(map[string]time.Duration),
		health:       make(map[string]dispatch.Health),
		liveAttempts: make(map[string]dispatch.Send),
		inUse:        make(map[string]int),
		requests:     make(map[string]*trackedRequest),
	}
}

func (m *model) apply(t failer, ev dispatch.Event) {
	for _, a := range m.d.Apply(m.now, ev) {
		m.check(t, a)
	}
}

// failer is the part of testing.T and rapid.T that the model uses.
type failer interface {
	Fatalf(format string, args ...any)
}

func (m *model) check(t failer, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Send:
		m.checkSend(t, a)
	case dispatch.Complete:
		m.checkFinal(t, a.ID, "complete")
	case dispatch.ReportUnknown:
		m.checkFinal(t, a.ID, "unknown")
	case dispatch.Reject:
		m.checkFinal(t, a.ID, "not run")
		if m.requests[a.ID].mayHaveRun {
			t.Fatalf("%s was sent, may have run, and is reported as not run", a.ID)
		}
	case dispatch.LogStart:
		if r := m.requests[a.ID]; r.hasLogStart || !r.MustLogStart {
			t.Fatalf("unexpected LogStart of %s", a.ID)
		}
		m.requests[a.ID].hasLogStart = true
	case dispatch.Abort:
		if m.requests[a.ID].NonIdempotent {
			t.Fatalf("non-idempotent %s is aborted", a.ID)
		}
		if m.liveAttempts[a.ID].Attempt != a.Attempt {
			t.Fatalf("attempt %d of %s is aborted but not live", a.Attempt, a.ID)
		}
	}
}

func (m *model) checkSend(t failer, a dispatch.Send) {
	r := m.requests[a.ID]
	if r.finalStatus != "" {
		t.Fatalf("%s is sent after its final answer", a.ID)
	}
	if _, ok := m.liveAttempts[a.ID]; ok {
		t.Fatalf("%s has two live attempts", a.ID)
	}
	if r.MustLogStart && !r.isStartLogged {
		t.Fatalf("%s is sent before its start is logged", a.ID)
	}
	if r.NonIdempotent && r.sendCount > r.refusedCount {
		t.Fatalf("non-idempotent %s is sent again after it may have run", a.ID)
	}
	if m.inUse[a.Server] >= m.heldSlots[a.Server] {
		t.Fatalf("send to %s beyond the %d held slots", a.Server, m.heldSlots[a.Server])
	}
	if m.now >= m.leaseExpiry[a.Server]-dispatch.ExpiryMargin {
		t.Fatalf("send to %s under an expired lease", a.Server)
	}
	if h := m.health[a.Server]; h != "" && h != dispatch.HealthLive {
		t.Fatalf("send to %s server %s", h, a.Server)
	}
	for _, id := range m.ids {
		o := m.requests[id]
		_, running := m.liveAttempts[id]
		if o.seq < r.seq && o.Class == r.Class && o.finalStatus == "" && !running && (!o.MustLogStart || o.isStartLogged) {
			t.Fatalf("%s is sent before %s of the same class", a.ID, id)
		}
	}
	r.sendCount++
	m.liveAttempts[a.ID] = a
	m.inUse[a.Server]++
}

func (m *model) checkFinal(t failer, id, status string) {
	r := m.requests[id]
	if r.finalStatus != "" {
		t.Fatalf("%s is answered twice: %s, %s", id, r.finalStatus, status)
	}
	if _, ok := m.liveAttempts[id]; ok {
		t.Fatalf("%s is answered while an attempt is live", id)
	}
	r.finalStatus = status
}

func (m *model) enqueue(t failer, class string, nonIdempotent, mustLogStart bool) {
	id := fmt.Sprintf("r%d", len(m.ids))
	ev := dispatch.Enqueue{ID: id, Class: class, NonIdempotent: nonIdempotent, MustLogStart: mustLogStart, At: m.now}
	m.requests[id] = &trackedRequest{Enqueue: ev, seq: len(m.ids)}
	m.ids = append(m.ids, id)
	m.apply(t, ev)
}

func (m *model) endAttempt(t failer, id string, result dispatch.Result) {
	a := m.liveAttempts[id]
	delete(m.liveAttempts, id)
	m.inUse[a.Server]--
	if result == dispatch.ResultRefused {
		m.requests[id].refusedCount++
	} else {
		m.requests[id].mayHaveRun = true
	}
	m.apply(t, dispatch.Finished{ID: id, Attempt: a.Attempt, Result: result})
}

func (m *model) liveRequestIDs() []string {
	var ids []string
	for _, id := range m.ids {
		if _, ok := m.liveAttempts[id]; ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestInvariants guards against sends beyond the held slots, under an expired
// lease or to a leaving server, against requests of a class sent out of order,
// against a second run of a non-idempotent request, and against requests with no
// final answer or with two. It applies random events in any order, with duplicate
// and late Finished events among them.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"))
		results := rapid.SampledFrom([]dispatch.Result{
			dispatch.ResultOK, dispatch.ResultOK, dispatch.ResultOK, dispatch.ResultRefused,
			dispatch.ResultFailed, dispatch.ResultLost, dispatch.ResultAborted,
		})
		servers := rapid.SampledFrom([]string{"s0", "s1", "s2", "far"})
		dataCentre := func(s string) string {
			if s == "far" {
				return "kat-a"
			}
			return "krk-a"
		}
		ids := func(t *rapid.T) string {
			if len(m.ids) == 0 {
				t.Skip("no request yet")
			}
			return rapid.SampledFrom(m.ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				class := rapid.SampledFrom(testClasses).Draw(t, "class")
				nonIdempotent := class.NonIdempotent || rapid.IntRange(0, 9).Draw(t, "once") == 0
				m.enqueue(t, class.Name, nonIdempotent, nonIdempotent && rapid.Bool().Draw(t, "held"))
			},
			"duplicate": func(t *rapid.T) {
				r := m.requests[ids(t)]
				if r.finalStatus == "" {
					m.apply(t, r.Enqueue)
				}
			},
			"logged": func(t *rapid.T) {
				r := m.requests[ids(t)]
				if r.hasLogStart && r.finalStatus == "" {
					r.isStartLogged = true
					m.apply(t, dispatch.StartLogged{ID: r.ID})
				}
			},
			"cancel": func(t *rapid.T) {
				m.apply(t, dispatch.Cancel{ID: ids(t), Reason: "caller disconnected"})
			},
			"finish": func(t *rapid.T) {
				live := m.liveRequestIDs()
				if len(live) == 0 {
					t.Skip("no attempt is live")
				}
				m.endAttempt(t, rapid.SampledFrom(live).Draw(t, "live"), results.Draw(t, "result"))
			},
			"stale finish": func(t *rapid.T) {
				id := ids(t)
				attempt := rapid.IntRange(0, 5).Draw(t, "attempt")
				if m.liveAttempts[id].Attempt == attempt {
					t.Skip("the attempt is live")
				}
				m.apply(t, dispatch.Finished{ID: id, Attempt: attempt, Result: results.Draw(t, "result")})
			},
			"slots": func(t *rapid.T) {
				s := servers.Draw(t, "server")
				m.heldSlots[s] = rapid.IntRange(0, 3).Draw(t, "count")
				m.leaseExpiry[s] = m.now + time.Duration(rapid.IntRange(0, 10000).Draw(t, "ms"))*time.Millisecond
				m.apply(t, dispatch.SlotsChanged{
					Server: s, DataCentre: dataCentre(s), Count: m.heldSlots[s], Expires: m.leaseExpiry[s],
				})
			},
			"health": func(t *rapid.T) {
				s := servers.Draw(t, "server")
				m.health[s] = rapid.SampledFrom([]dispatch.Health{
					dispatch.HealthLive, dispatch.HealthLive, dispatch.HealthLeaving, dispatch.HealthFailing,
				}).Draw(t, "health")
				m.apply(t, dispatch.ServerChanged{Server: s, DataCentre: dataCentre(s), Health: m.health[s]})
			},
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
				m.apply(t, dispatch.Tick{})
			},
		})
		m.drain(t)
	})
}

// drain ends all attempts and checks that each request gets a final answer.
func (m *model) drain(t failer) {
	for range 100 * (len(m.ids) + 1) {
		m.now += 10 * time.Second
		m.health["s0"] = dispatch.HealthLive
		m.heldSlots["s0"], m.leaseExpiry["s0"] = 3, m.now+10*time.Second
		m.apply(t, dispatch.ServerChanged{Server: "s0", DataCentre: "krk-a", Health: dispatch.HealthLive})
		m.apply(t, dispatch.SlotsChanged{Server: "s0", DataCentre: "krk-a", Count: 3, Expires: m.leaseExpiry["s0"]})
		unanswered := 0
		for _, id := range m.ids {
			r := m.requests[id]
			if r.hasLogStart && !r.isStartLogged && r.finalStatus == "" {
				r.isStartLogged = true
				m.apply(t, dispatch.StartLogged{ID: id})
			}
			if r.finalStatus == "" {
				unanswered++
			}
		}
		if unanswered == 0 {
			return
		}
		for _, id := range m.liveRequestIDs() {
			m.endAttempt(t, id, dispatch.ResultOK)
		}
		m.apply(t, dispatch.Tick{})
	}
	t.Fatalf("a request has no final answer after all attempts ended")
}
