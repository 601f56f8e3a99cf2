// Package pacing decides at which pace the best-effort tasks of a worker run beside its
// serving tasks, those with a target for the tail of their response times.
//
// A worker reports the tails of the last half second. Best-effort tasks add to them, by
// amounts that differ by image, and so does the load of the serving tasks themselves. A
// Pacer lowers the pace only while a target is exceeded, and learns from the changes of the
// pace how much a task adds. A target must not be exceeded for 4 s without interruption
// because of best-effort tasks.
//
// The package reads no clock, does no I/O and stores nothing. Package owner applies the pace.
package pacing

import "time"

// Paces in percent of the full speed.
const (
	Full = 100
	// Floor is the lowest pace while no target is exceeded for long: at a tenth of its speed
	// work still ends, and the tails show what it adds.
	Floor = 10
	// minFloor is the pace to which the floor falls, by half after each pause that the floor
	// itself has caused.
	minFloor = 2
	// Paused stops the work.
	Paused = 0
)

const (
	// raiseLoad is the share of a target up to which the pace is raised. Between it and the
	// target the pace stays.
	raiseLoad = 0.95
	// settleTime is how long after a change the tails show its effect: a request takes up to
	// 0.1 s to apply, and a tail is that of the last 0.5 s.
	settleTime = 600 * time.Millisecond
	// pauseAfter is how long a target may be exceeded until the work is paused. A target may be
	// exceeded for 4 s, of which 0.8 s pass until it is seen, 0.3 s until the next answer, and
	// 0.8 s if the request to pause is lost once.
	pauseAfter = 1500 * time.Millisecond
	// minPause and maxPause bound the length of a pause, which doubles until the pace can be
	// raised above the floor.
	minPause = time.Second
	maxPause = 16 * time.Second
	// minRaise and maxRaise bound a step up, in percent of the full speed: small enough to learn
	// the effect, large enough to be back at full speed within 12 s, or 3 s if the effect is small.
	minRaise = 5
	maxRaise = 25
)

// The effect is what a task at full pace adds to the load.
const (
	// priorEffect counts as much as a change by priorWeight (squared tasks at full pace).
	priorEffect = 0.1
	priorWeight = 0.25
	minEffect   = 0.002
	maxEffect   = 1
	// keepEffect is the weight of former changes after each new one.
	keepEffect = 0.9
)

// Sample is what a worker reports.
type Sample struct {
	// Load is the highest tail of a serving task as a share of its target; 0 without such tasks.
	Load float64
	// Tasks is the number of best-effort tasks, Speed the sum of their paces, 1 for a task at
	// full pace.
	Tasks int
	Speed float64
}

// Pacer paces the best-effort tasks of one worker. The zero value is not valid; see New.
type Pacer struct {
	percent   int
	changedAt time.Duration
	isOver    bool
	overSince time.Duration
	pausedAt  time.Duration
	pause     time.Duration
	// floor is the pace to which the work is slowed down and at which it goes on after a pause.
	floor  int
	reason string

	// speed is that of the last sample, since speedSince; settledSpeed and settledLoad are those
	// of the last sample that shows the effect of its speed.
	speed        float64
	speedSince   time.Duration
	isSettled    bool
	settledSpeed float64
	settledLoad  float64
	// squares and products are the sums of the squared changes of the speed and of the products
	// with the changes of the load.
	squares, products float64
}

// New returns a Pacer for tasks that run at a pace now.
func New(now time.Duration, percent int) *Pacer {
	return &Pacer{percent: percent, changedAt: now - settleTime, floor: Floor, reason: "start"}
}

// Floor returns the lowest pace at present, but for pauses.
func (p *Pacer) Floor() int { return p.floor }

// Reason returns why the pace was last changed, for log lines.
func (p *Pacer) Reason() string { return p.reason }

// Effect returns how much a task at full pace adds to the load, as far as known.
func (p *Pacer) Effect() float64 {
	effect := (priorWeight*priorEffect + p.products) / (priorWeight + p.squares)
	return min(max(effect, minEffect), maxEffect)
}

// Next returns the pace that follows a sample. The owner calls it for each list of a worker
// with best-effort tasks.
func (p *Pacer) Next(now time.Duration, s Sample) int {
	p.learn(now, s)
	switch {
	case s.Load <= 1:
		p.isOver = false
	case !p.isOver:
		p.isOver, p.overSince = true, now
	}
	if s.Load > 1 {
		p.lower(now, s)
	} else {
		p.raise(now, s)
	}
	return p.percent
}

func (p *Pacer) change(now time.Duration, percent int, reason string) {
	if percent != p.percent {
		p.percent, p.changedAt, p.reason = percent, now, reason
	}
}

// hasSettled reports whether the tails show the effect of the pace.
func (p *Pacer) hasSettled(now time.Duration) bool { return now-p.changedAt >= settleTime }

// lower decides while a target is exceeded.
func (p *Pacer) lower(now time.Duration, s Sample) {
	switch {
	case p.percent == Paused:
		// The tasks do not cause what exceeds the target while they are paused. They go on at the
		// floor, and are paused again to see whether that is still so.
		if p.hasPaused(now) {
			p.pause, p.floor, p.overSince = 0, Floor, now
			p.change(now, p.floor, "target is exceeded without best-effort tasks")
		}
	case now-p.overSince >= pauseAfter:
		p.pausedAt, p.pause = now, min(max(2*p.pause, minPause), maxPause)
		p.change(now, Paused, "target stays exceeded")
	case p.percent > p.floor && p.hasSettled(now):
		cut := 100 * (s.Load - raiseLoad) / (p.Effect() * float64(max(s.Tasks, 1)))
		p.change(now, max(min(p.percent-int(cut), p.percent/2), p.floor), "target is exceeded")
	}
}

// hasPaused reports whether the work has been paused for as long as it should be, and the tails
// show it: the request to pause may have been lost, and a task may have started since. A task
// that cannot be paused does not keep the others paused for longer than maxPause.
func (p *Pacer) hasPaused(now time.Duration) bool {
	elapsed := now - p.pausedAt
	isShown := p.speed == 0 && now-p.speedSince >= settleTime
	return elapsed >= p.pause && (isShown || elapsed >= maxPause)
}

// raise decides while no target is exceeded.
func (p *Pacer) raise(now time.Duration, s Sample) {
	switch {
	case s.Load == 0:
		p.pause, p.floor = 0, Floor
		p.change(now, Full, "no serving tasks")
	case p.percent == Paused:
		if p.hasPaused(now) {
			p.floor = max(p.floor/2, minFloor)
			p.change(now, p.floor, "end of pause")
		}
	case p.percent < Full && s.Load <= raiseLoad && p.hasSettled(now):
		step := 100 * (raiseLoad - s.Load) / (p.Effect() * float64(max(s.Tasks, 1)))
		p.pause, p.floor = 0, Floor
		p.change(now, min(p.percent+int(min(max(step, minRaise), maxRaise)), Full), "headroom")
	}
}

// learn compares the load before and after a change of the speed, whether the pace caused it
// or the start or end of a task.
func (p *Pacer) learn(now time.Duration, s Sample) {
	if s.Speed != p.speed {
		p.speed, p.speedSince = s.Speed, now
	}
	if now-p.speedSince < settleTime {
		return
	}
	if change := s.Speed - p.settledSpeed; p.isSettled && change != 0 {
		p.squares = keepEffect*p.squares + change*change
		p.products = keepEffect*p.products + change*(s.Load-p.settledLoad)
	}
	p.isSettled, p.settledSpeed, p.settledLoad = true, s.Speed, s.Load
}
