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
	// roomRetry is the pause before workers are looked through again for a step
	// that had no room.
	roomRetry = 40 * time.Millisecond
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
	// 20 questions.
	askDeviations = 1.6
	// questionSize splits large questions over several lanes: an answer about 30
	// workers is what objectives allow for.
	questionSize = 30
	// largestQuestion is the most workers that one question may name. Questions
	// are that large while lanes are short, since most of an answer's time does
	// not depend on their number.
	largestQuestion = 100
	// ShortQuestion is the time below which questions are asked without regard to
	// free lanes: the tightest objective leaves 250 ms for all but the work.
	ShortQuestion = 100 * time.Millisecond
)

// AdviceLanes says how many questions to the advice service may be asked now.
type AdviceLanes struct {
	// Free is the number of lanes that can take a question.
	Free int
	// FreeForLong is how many of them long questions may take; the others are
	// left to shorter ones.
	FreeForLong int
	// Long is the time from which a question is long.
	Long time.Duration
}

// take reports whether a question of a length may be asked, and counts it.
func (l *AdviceLanes) take(cost time.Duration) bool {
	if !l.free(cost) {
		return false
	}
	l.Free--
	if cost >= l.Long {
		l.FreeForLong--
	}
	return true
}

// free reports whether a question of a length may be asked.
func (l *AdviceLanes) free(cost time.Duration) bool {
	if cost >= l.Long {
		return l.Free > 0 && l.FreeForLong > 0
	}
	return l.Free > 0
}

// claims is what the steps before the current one in a pass are about to take.
type claims struct{ need structs.Resources }

// add counts a step whose questions are under way.
func (c *claims) add(s *step) {
	if s.advice.asking == 0 {
		return
	}
	c.need = c.need.Add(s.def.Charge().Times(int64(len(s.task) - s.done - s.active)))
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
func (m *Machine) advised(e Advised) {
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
	for _, id := range e.Asked {
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

// ask asks which workers with room may run the remaining tasks of a step.
func (m *Machine) ask(s *step, q *cell.Queue, need int) {
	a := &s.advice
	if a.asking > 0 || m.now.Mono < a.next || need == 0 {
		return
	}
	limited := q.Advice.Cost(questionSize) >= ShortQuestion
	if limited && !m.lanes.free(q.Advice.Cost(1)) {
		return
	}
	names, expected := m.candidates(s, q, need)
	// A gang that has too little room in sight waits, unless more workers than
	// one round may name have room: it learns by rounds then which are eligible.
	tooLittle := s.def.Gang && expected < float64(need) && len(names) < maxAsked
	if len(names) == 0 || tooLittle {
		// Room comes with the next ends.
		a.next = m.now.Mono + roomRetry
		return
	}
	m.decide(s.id.String(), "advice is asked", "workers", len(names), "expected_room", int(expected*10)/10, "need", need)
	size := questionSize
	if limited && m.lanes.Free < 2*(len(names)/questionSize+1) {
		size = largestQuestion
	}
	for part := range slices.Chunk(names, size) {
		cost := q.Advice.Cost(len(part))
		if limited && !m.lanes.take(cost) {
			// The rest is asked about once these are answered.
			break
		}
		a.asking++
		m.emit(Ask{Step: s.id, Workers: part, Cost: cost, Urgent: q.Priority == 0})
	}
}

// candidates picks workers with room until the expected room of the eligible
// ones is enough.
func (m *Machine) candidates(s *step, q *cell.Queue, need int) (names []string, expected float64) {
	share := m.stats(s.job.def.Queue.Name).eligible
	type candidate struct {
		worker *worker
		// room is the expected room, variance that of chance.
		room     float64
		variance float64
		key      float64
	}
	var all []candidate
	total := 0
	for _, w := range m.order {
		if !m.suits(w, s, q) || !s.advice.mayRun(w.info.ID) {
			continue
		}
		n := m.roomFor(w, s)
		if n == 0 {
			continue
		}
		total += n
		room := float64(min(n, need))
		c := candidate{worker: w, room: room, key: room + m.rand.Float64()}
		if s.advice.eligible[w.info.ID] {
			c.key += 1000
		} else {
			c.room *= share
			c.variance = share * (1 - share) * room * room
		}
		if w.health.suspect(m.now.Mono) {
			c.key -= 500
		}
		all = append(all, c)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].key > all[k].key })
	left := m.claimed.left(s, total)
	want := float64(need)*askSurplus + 1
	variance := 0.0
	for _, c := range all {
		if expected-askDeviations*math.Sqrt(variance) >= want || len(names) >= maxAsked {
			break
		}
		names = append(names, c.worker.info.ID)
		expected += c.room * left
		variance += c.variance * left
	}
	return names, expected
}

// left returns the share of the room for a step that the claims leave; total is
// that room in tasks of the step.
func (c *claims) left(s *step, total int) float64 {
	if total == 0 {
		return 1
	}
	need := s.def.Charge()
	taken := 0.0
	for _, d := range [][2]int64{
		{c.need.MilliCPU, need.MilliCPU},
		{c.need.MemoryMB, need.MemoryMB},
		{c.need.Accelerators, need.Accelerators},
	} {
		if d[1] > 0 {
			taken = max(taken, float64(d[0])/float64(d[1]))
		}
	}
	return max(0, 1-taken/float64(total))
}
