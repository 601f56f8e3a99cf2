package configstate

import (
	"fmt"
	"strings"
	"time"

	"gypsumwinch/internal/clusterconfig"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// publish handles a publication. One that arrives before the state is
// established is kept until a rewrite decides it.
func (s *State) publish(effect *Effect, offset int64, at time.Time, p records.ConfigPublish) {
	last := s.lastPublish
	s.lastPublish = offset
	if s.established {
		s.decide(effect, offset, at, p)
		return
	}
	if p.Base == records.BaseReset && s.resetIsFirst(p, last) {
		// Nothing between Through and offset can have been accepted. What was in
		// force before does not matter.
		if _, err := parse(p); err == nil {
			s.dropPending(effect)
			s.establish(Current{Version: records.NoVersion}, offset)
			s.decide(effect, offset, at, p)
			return
		}
	}
	s.pending = append(s.pending, pendingPublish{offset: offset, publish: p})
}

// dropPending reports the publications before a reset. The reader never learns
// what became of them.
func (s *State) dropPending(effect *Effect) {
	for _, p := range s.pending {
		d := Decision{Offset: p.offset, Status: Undecided, Version: records.NoVersion, Publish: p.publish}
		if s.history.add(d) {
			effect.Decisions = append(effect.Decisions, d)
		}
	}
	s.pending = nil
}

// resetIsFirst reports whether no publication lies between the offset up to
// which the publisher had read and the reset itself.
func (s *State) resetIsFirst(p records.ConfigPublish, last int64) bool {
	return p.LastReadOffset >= s.firstSeen-1 && last <= p.LastReadOffset
}

// decide accepts or refuses a publication. The base alone decides, not whether
// the id was seen before: a reader that starts after a dropped copy of the
// publication must come to the same result. A copy of an accepted publication
// is refused by its base, since it names a version before its own. If the copy
// that was accepted may lie before the first record that this reader saw, it
// must not be reported as refused.
func (s *State) decide(effect *Effect, offset int64, at time.Time, p records.ConfigPublish) {
	d := Decision{Offset: offset, Status: Refused, Publish: p, Before: s.folded.Publish.YAML}
	config, err := parse(p)
	switch {
	case err != nil:
		d.Reason = err.Error()
	case p.Base == records.BaseReset && s.folded.Version > p.LastReadOffset:
		d.Reason = fmt.Sprintf("reset refused: version %d came into force first", s.folded.Version)
	case p.Base != records.BaseReset && p.Base != s.folded.Version:
		d.Reason = fmt.Sprintf("based on version %d, but version %d is in force", p.Base, s.folded.Version)
	default:
		d.Status = Accepted
		s.folded = Current{Version: offset, Publish: p, Config: config}
		if p.Base == records.BaseReset && p.LastReadOffset == offset-1 {
			s.moveAnchor(offset, at)
		}
	}
	if d.Status == Refused && err == nil && p.LastReadOffset+1 < s.firstSeen {
		d.Status = Undecided
		d.Reason = "an earlier copy may have been accepted before the log dropped it; this one has no effect: " + d.Reason
	}
	d.Version = s.folded.Version
	if s.history.add(d) {
		effect.Decisions = append(effect.Decisions, d)
	}
}

// rewrite handles a repeated configuration. An established reader knows the
// same or better; it only notes from where new readers can start.
func (s *State) rewrite(effect *Effect, offset int64, at time.Time, w *records.ConfigRewrite) {
	if w.Version > w.LastReadOffset || w.LastReadOffset >= offset {
		return
	}
	if !s.established {
		s.restore(effect, w)
	}
	// A rewrite that other records precede needs those as well. The older anchor
	// stays, so that the rewrite is repeated in time.
	if s.established && w.LastReadOffset == offset-1 && w.Version == s.folded.Version {
		s.moveAnchor(offset, at)
	}
}

// restore establishes the state from a rewrite, if no record is missing
// between the last one that its writer had read and the first one read here.
func (s *State) restore(effect *Effect, w *records.ConfigRewrite) {
	if w.LastReadOffset < s.firstSeen-1 {
		return
	}
	current := Current{Version: records.NoVersion}
	if w.Version != records.NoVersion {
		config, err := parse(w.Publish)
		if err != nil {
			return
		}
		current = Current{Version: w.Version, Publish: w.Publish, Config: config}
	}
	s.establish(current, w.LastReadOffset+1)
	s.decidePending(effect, w.LastReadOffset)
}

// decidePending decides the publications after an offset at which the state is
// known. Those up to the offset stay undecided, except the one in force.
func (s *State) decidePending(effect *Effect, through int64) {
	pending := s.pending
	s.pending = nil
	for _, p := range pending {
		if p.offset > through {
			s.decide(effect, p.offset, time.Time{}, p.publish)
			continue
		}
		d := Decision{Offset: p.offset, Status: Undecided, Version: s.folded.Version, Publish: p.publish}
		if p.offset == s.folded.Version {
			d.Status = Accepted
		}
		if s.history.add(d) {
			effect.Decisions = append(effect.Decisions, d)
		}
	}
}

// establish sets what the log has in force.
func (s *State) establish(current Current, anchor int64) {
	s.established = true
	s.folded = current
	s.anchor = anchor
	s.anchorTime = s.seenTime
}

func (s *State) moveAnchor(offset int64, at time.Time) {
	s.anchor = offset
	s.anchorTime = at
	s.noAnchor = false
}

// Adopt takes over a configuration that a peer has in force. It has an effect
// only if its version is above the current one. The log can later show another
// history only if the peer was wrong; the adopted version then stays in force
// until the log accepts a later one, so that the version never goes back.
func (s *State) Adopt(version int64, publish records.ConfigPublish) (Effect, error) {
	var effect Effect
	if version <= s.Current().Version {
		return effect, nil
	}
	config, err := parse(publish)
	if err != nil {
		return effect, err
	}
	s.adopted = Current{Version: version, Publish: publish, Config: config}
	effect.Changed = true
	s.conflicted = false
	s.settleAdopted(&effect)
	return effect, nil
}

// settleAdopted compares the adopted configuration with the log once the log
// was read past its version.
func (s *State) settleAdopted(effect *Effect) {
	if s.adopted.Version == records.NoVersion {
		return
	}
	// The publication was in force right after its own offset. If every later
	// record was read, the state is known. New readers cannot see this on the
	// log.
	if !s.established && s.adopted.Version >= s.firstSeen-1 && s.adopted.Version < s.next {
		s.establish(s.adopted, s.adopted.Version+1)
		s.noAnchor = true
		s.decidePending(effect, s.adopted.Version)
	}
	if !s.established || s.next <= s.adopted.Version {
		return
	}
	if s.folded.Version >= s.adopted.Version {
		s.adopted = Current{Version: records.NoVersion}
		return
	}
	if s.conflicted {
		return
	}
	s.conflicted = true
	effect.Conflict = fmt.Sprintf("a peer gave version %d, but the log has version %d in force at offset %d",
		s.adopted.Version, s.folded.Version, s.next-1)
}

// Rewrite returns the record that repeats the configuration in force. ok is
// false if this reader does not know what the log has in force.
func (s *State) Rewrite() (rec records.Record, ok bool) {
	if !s.established || s.next == 0 {
		return records.Record{}, false
	}
	return records.Record{ConfigRewrite: &records.ConfigRewrite{
		Version:        s.folded.Version,
		LastReadOffset: s.next - 1,
		Publish:        s.folded.Publish,
	}}, true
}

// NeedsRewrite reports whether the record from which on new readers must start
// has less than a third of its retention time left. now is the log's wall clock
// time. It is false while Rewrite returns no record.
func (s *State) NeedsRewrite(now time.Time, retention time.Duration) bool {
	if !s.established || s.next == 0 {
		return false
	}
	if s.noAnchor {
		return true
	}
	if s.anchorTime.IsZero() {
		return false
	}
	return now.Sub(s.anchorTime) > retention-retention/3
}

// Anchor returns the offset from which on a new reader must read the stream to
// know what is in force.
func (s *State) Anchor() int64 {
	return s.anchor
}

func parse(p records.ConfigPublish) (*structs.ClusterConfig, error) {
	if strings.TrimSpace(p.ID) == "" {
		return nil, fmt.Errorf("the publication has no id")
	}
	return clusterconfig.Parse("config", []byte(p.YAML))
}
