package owner

import (
	"errors"
	"math"
	"slices"
	"sort"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// adviceState is what is known about the workers that may run a step.
type adviceState struct {
	// asking counts the questions under way.
	asking int
	// next is when the service may be asked again.
	next time.Duration
	// eligible has an entry for each worker that was asked about.
	eligible map[string]bool
	tickets  []ticket
	// claims are those of the questions under way.
	claims []claim
}

// ticket permits starts in one life of a worker.
type ticket struct {
	worker  *worker
	text    string
	expires time.Duration
	born    int64
}

// valid reports whether a start can be recorded and sent within the validity.
func (t *ticket) valid(now time.Duration) bool {
	return t.born == t.worker.info.Born && now+ticketMargin <= t.expires
}

// Limits of questions to the advice service.
const (
	// adviceRetry is the pause after a question without an answer.
	adviceRetry = 150 * time.Millisecond
	// roomRetry is the pause before workers are looked through again for a step.
	roomRetry = 60 * time.Millisecond
	// ticketMargin is taken off a ticket's validity: a start is recorded and
	// sent within it.
	ticketMargin = 60 * time.Millisecond
	// maxAsked bounds the workers of one round of questions.
	maxAsked = 240
	// askSurplus times the needed room is asked for, since room may be taken
	// meanwhile.
	askSurplus = 1.15
	// askDeviations of the room of eligible workers are asked for on top, since
	// eligibility is a matter of chance: the room asked for is too little once in
	// 20 questions. Steps that can start in part and whose answers take long go
	// without.
	askDeviations = 1.6
	// tightJitter, a share of a worker's processors, keeps questions of one moment
	// from naming the same workers.
	tightJitter = 0.1
	// questionSize splits large questions over several lanes: an answer about 30
	// workers is what objectives allow for.
	questionSize = 30
	// largestQuestion is the most workers that one question may name. Questions
	// are that large while lanes are short, since most of an answer's time does
	// not depend on their number.
	largestQuestion = 100
	// ShortQueryTime is the answer time below which advice queries are sent without
	// regard to free advice proxies: the tightest objective leaves 250 ms for
	// everything but the work.
	ShortQueryTime = 100 * time.Millisecond
)

// AdviceCapacity is how many advice queries may be sent now.
type AdviceCapacity struct {
	// FreeProxies is the number of advice proxies that can take a query.
	FreeProxies int
	// FreeForLongQueries is how many of them long queries may take; the others are
	// reserved for shorter ones.
	FreeForLongQueries int
	// LongQueryTime is the answer time from which a query counts as long.
	LongQueryTime time.Duration
}

// take reports whether a question of a length may be asked, and counts it.
func (l *AdviceCapacity) take(cost time.Duration) bool {
	if !l.free(cost) {
		return false
	}
	l.FreeProxies--
	if cost >= l.LongQueryTime {
		l.FreeForLongQueries--
	}
	return true
}

// free reports whether a question of a length may be asked.
func (l *AdviceCapacity) free(cost time.Duration) bool {
	if cost >= l.LongQueryTime {
		return l.FreeProxies > 0 && l.FreeForLongQueries > 0
	}
	return l.FreeProxies > 0
}

// claim is the room that a step is about to take on a worker.
type claim struct {
	worker *worker
	need   structs.Resources
}

// addClaims notes what a step takes of the workers that are asked about. The steps
// after it in a pass do not ask for that room.
func (m *Machine) addClaims(s *step) {
	if s.advice.asking == 0 {
		return
	}
	for _, c := range s.advice.claims {
		if c.worker.claimedPass != m.passes {
			c.worker.claimedPass = m.passes
			c.worker.claimed = structs.Resources{}
		}
		c.worker.claimed = c.worker.claimed.Add(c.need)
	}
}

// claimedOn returns what the steps before the current one in a pass are about to
// take of a worker.
func (m *Machine) claimedOn(w *worker) structs.Resources {
	if w.claimedPass != m.passes {
		return structs.Resources{}
	}
	return w.claimed
}

// find returns the ticket for a worker, or nil.
func (a *adviceState) find(w *worker) *ticket {
	for i := range a.tickets {
		if a.tickets[i].worker == w {
			return &a.tickets[i]
		}
	}
	return nil
}

// drop makes the ticket for a worker invalid.
func (a *adviceState) drop(w *worker) {
	if t := a.find(w); t != nil {
		t.expires = 0
	}
}

// put adds or renews a ticket.
func (a *adviceState) put(t ticket) {
	if old := a.find(t.worker); old != nil {
		*old = t
		return
	}
	a.tickets = append(a.tickets, t)
}

// ticketFor returns the text of a valid ticket, or "".
func (a *adviceState) ticketFor(w *worker, now time.Duration) string {
	if t := a.find(w); t != nil && t.valid(now) {
		return t.text
	}
	return ""
}

// mayRun reports whether a worker may turn out, or is known, to be eligible.
func (a *adviceState) mayRun(worker string) bool {
	eligible, asked := a.eligible[worker]
	return !asked || eligible
}

// advised takes an answer of the advice service over.
func (m *Machine) advised(e AdviceResult) {
	j, ok := m.jobs[e.Step.Job]
	if !ok {
		return
	}
	s := j.steps[e.Step]
	if s == nil {
		return
	}
	a := &s.advice
	a.asking--
	if e.Err != nil {
		a.next = m.now.Mono + adviceRetry
		if !errors.Is(e.Err, cell.ErrAdviceBusy) {
			m.decide(e.Step.String(), "no advice", "error", e.Err.Error())
		}
		return
	}
	if a.eligible == nil {
		a.eligible = map[string]bool{}
	}
	fresh := 0
	for _, id := range e.AskedWorkers {
		if _, asked := a.eligible[id]; !asked {
			fresh++
			a.eligible[id] = false
		}
	}
	q := m.queue(j)
	validity := e.Answer.Validity
	if validity == 0 && q.Advice != nil {
		validity = q.Advice.Validity
	}
	granted := 0
	for _, t := range e.Answer.Eligible {
		if !a.eligible[t.Worker] {
			granted++
		}
		a.eligible[t.Worker] = true
		if w, ok := m.workers[t.Worker]; ok {
			a.put(ticket{worker: w, text: t.Ticket, expires: m.now.Mono - e.Age + validity, born: w.info.Born})
		}
	}
	if fresh > 0 {
		stats := m.stats(j.def.Queue.Name)
		stats.eligible += learnRate * (float64(granted)/float64(fresh) - stats.eligible)
	}
	m.needPass = true
}

// ask asks which workers may run the remaining tasks of a step.
func (m *Machine) ask(s *step, q *cell.Queue, need int) {
	a := &s.advice
	if a.asking > 0 || m.now.Mono < a.next || need == 0 {
		return
	}
	if limited(q) && !m.lanes.free(q.Advice.AnswerTime(1)) {
		return
	}
	a.next = m.now.Mono + roomRetry
	c := m.candidates(s, q, need)
	// A gang that has too little room in sight waits, unless more workers than
	// one round may name have room: it learns by rounds then which are eligible.
	tooLittle := s.def.Gang && c.expected < float64(need) && len(c.names) < maxAsked
	if len(c.names) == 0 || tooLittle {
		return
	}
	m.decide(s.id.String(), "advice is asked", "workers", len(c.names), "expected_room", int(c.expected), "need", need)
	a.claims = c.claims
	size := questionSize
	if limited(q) && m.lanes.FreeProxies < 2*(len(c.names)/questionSize+1) {
		size = largestQuestion
	}
	for part := range slices.Chunk(c.names, size) {
		cost := q.Advice.AnswerTime(len(part))
		if limited(q) && !m.lanes.take(cost) {
			// The rest is asked about once these are answered.
			break
		}
		a.asking++
		m.emit(QueryAdvice{Step: s.id, Workers: part, AnswerTime: cost, Urgent: q.Priority == 0})
	}
}

// limited reports whether a queue's questions need a free lane.
func limited(q *cell.Queue) bool { return q.Advice.AnswerTime(questionSize) >= ShortQueryTime }

// candidates are the workers to ask about.
type candidates struct {
	names  []string
	claims []claim
	// expected is the room that is expected on the eligible ones, in tasks.
	expected float64
}

// candidate is a worker that could be asked about.
type candidate struct {
	worker *worker
	// room is the expected room, variance that of chance.
	room     float64
	variance float64
	key      float64
}

// candidates picks workers with room until the expected room of the eligible
// ones is enough.
func (m *Machine) candidates(s *step, q *cell.Queue, need int) candidates {
	var all []candidate
	share := m.stats(s.job.def.Queue.Name).eligible
	for _, w := range m.order {
		if !m.suits(w, s, q) || !s.advice.mayRun(w.info.ID) {
			continue
		}
		if room := min(m.unclaimedFor(w, s), need); room > 0 {
			all = append(all, m.candidate(w, s, float64(room), share))
		}
	}
	sort.Slice(all, func(i, k int) bool { return all[i].key > all[k].key })
	deviations := 0.0
	if s.def.Gang || !limited(q) {
		deviations = askDeviations
	}
	want := float64(need)*askSurplus + 1
	var out candidates
	var picked []candidate
	variance := 0.0
	for _, c := range all {
		if out.expected-deviations*math.Sqrt(variance) >= want || len(out.names) >= maxAsked {
			break
		}
		picked = append(picked, c)
		out.names = append(out.names, c.worker.info.ID)
		out.expected += c.room
		variance += c.variance
	}
	for _, c := range picked {
		out.claims = append(out.claims, claim{c.worker, portion(s.def.Charge(), c.room*min(1, float64(need)/out.expected))})
	}
	return out
}

// portion returns an amount times a fraction.
func portion(r structs.Resources, x float64) structs.Resources {
	return structs.Resources{
		MilliCPU:     int64(float64(r.MilliCPU) * x),
		MemoryMB:     int64(float64(r.MemoryMB) * x),
		Accelerators: int64(float64(r.Accelerators) * x),
	}
}

// candidate rates a worker: those that are known to be eligible come first, and
// suspect ones last. A gang's questions are long, so that those with the most room
// are named; other steps fill the fullest workers, which leaves room to gangs.
func (m *Machine) candidate(w *worker, s *step, room, share float64) candidate {
	c := candidate{worker: w, room: room, key: room + m.rand.Float64()}
	if !s.def.Gang {
		c.key = -m.leftOn(w, portion(s.def.Charge(), room)) - tightJitter*m.rand.Float64()
	}
	if s.advice.eligible[w.info.ID] {
		c.key += 1000
	} else {
		c.room *= share
		c.variance = share * (1 - share) * room * room
	}
	if w.health.suspect() {
		c.key -= 500
	}
	return c
}

// unclaimedFor returns how many tasks of a step a worker can take beside what the
// steps before it are about to take.
func (m *Machine) unclaimedFor(w *worker, s *step) int {
	return m.roomIn(w.free().Sub(m.claimedOn(w)), w, s)
}
