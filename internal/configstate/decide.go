package configstate

import (
	"fmt"
	"strings"
	"time"

	"gypsumwinch/internal/clusterconfig"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// publish applies a publication that Apply read. If the state is not established,
// the publication is pending until a rewrite or an adopted configuration
// establishes the state. A valid reset that no other publication can precede
// establishes the state at once.
func (s *State) publish(effect *Effect, offset int64, at time.Time, p records.ConfigPublish) {
	last := s.lastPublishOffset
	s.lastPublishOffset = offset
	if s.isEstablished {
		s.decide(effect, offset, at, p)
		return
	}
	if p.Base == records.BaseReset && s.isResetUncontested(p, last) {
		// No publication between LastReadOffset and offset can have been
		// accepted. The version in force before does not matter.
		if _, err := parsePublication(p); err == nil {
			s.abandonPending(effect)
			s.establish(Current{Version: records.NoVersion}, offset)
			s.decide(effect, offset, at, p)
			return
		}
	}
	s.pendingPublishes = append(s.pendingPublishes, pendingPublish{offset: offset, publish: p})
}

// abandonPending reports the publications pending before a reset as undecided,
// since this reader can no longer learn whether they were accepted. publish calls
// it before it establishes the state from the reset.
func (s *State) abandonPending(effect *Effect) {
	for _, p := range s.pendingPublishes {
		d := Decision{Offset: p.offset, Status: Undecided, Version: records.NoVersion, Publish: p.publish}
		if s.history.add(d) {
			effect.Decisions = append(effect.Decisions, d)
		}
	}
	s.pendingPublishes = nil
}

// isResetUncontested reports whether the reader knows that no publication lies
// between the last offset that the publisher of the reset p had read and p itself.
// lastPublishOffset is the offset of the publication before p.
func (s *State) isResetUncontested(p records.ConfigPublish, lastPublishOffset int64) bool {
	return p.LastReadOffset >= s.firstRead-1 && lastPublishOffset <= p.LastReadOffset
}

// decide accepts or refuses a publication in an established state. Only its base
// decides, not whether the id was seen before: a reader that starts after a dropped
// copy of the publication must reach the same result. A later copy of an accepted
// publication is refused because its base is a version before its own. The
// publication is undecided instead of refused if an accepted copy of it may lie
// before the first record that this reader read.
func (s *State) decide(effect *Effect, offset int64, at time.Time, p records.ConfigPublish) {
	d := Decision{Offset: offset, Status: Refused, Publish: p, PreviousYAML: s.logCurrent.Publish.YAML}
	config, err := parsePublication(p)
	switch {
	case err != nil:
		d.Reason = err.Error()
	case p.Base == records.BaseReset && s.logCurrent.Version > p.LastReadOffset:
		d.Reason = fmt.Sprintf("reset refused: version %d came into force first", s.logCurrent.Version)
	case p.Base != records.BaseReset && p.Base != s.logCurrent.Version:
		d.Reason = fmt.Sprintf("based on version %d, but version %d is in force", p.Base, s.logCurrent.Version)
	default:
		d.Status = Accepted
		s.logCurrent = Current{Version: offset, Publish: p, Config: config}
		if p.Base == records.BaseReset && p.LastReadOffset == offset-1 {
			s.moveAnchor(offset, at)
		}
	}
	if d.Status == Refused && err == nil && p.LastReadOffset+1 < s.firstRead {
		d.Status = Undecided
		d.Reason = "an earlier copy may have been accepted before the log dropped it; this one has no effect: " + d.Reason
	}
	d.Version = s.logCurrent.Version
	if s.history.add(d) {
		effect.Decisions = append(effect.Decisions, d)
	}
}

// rewrite applies a rewrite that Apply read. It establishes the state if it can. An
// established state already has the same version or a later one; the rewrite then
// only moves the anchor.
func (s *State) rewrite(effect *Effect, offset int64, at time.Time, w *records.ConfigRewrite) {
	if w.Version > w.LastReadOffset || w.LastReadOffset >= offset {
		return
	}
	if !s.isEstablished {
		s.restore(effect, w)
	}
	// If there are records between LastReadOffset and the rewrite, a new reader
	// needs those as well. The older anchor stays, so that another rewrite is
	// written in time.
	if s.isEstablished && w.LastReadOffset == offset-1 && w.Version == s.logCurrent.Version {
		s.moveAnchor(offset, at)
	}
}

// restore establishes the state from a rewrite, unless records are missing between
// the last one that the writer of the rewrite had read and the first one read here.
// rewrite calls it while the state is not established.
func (s *State) restore(effect *Effect, w *records.ConfigRewrite) {
	if w.LastReadOffset < s.firstRead-1 {
		return
	}
	current := Current{Version: records.NoVersion}
	if w.Version != records.NoVersion {
		config, err := parsePublication(w.Publish)
		if err != nil {
			return
		}
		current = Current{Version: w.Version, Publish: w.Publish, Config: config}
	}
	s.establish(current, w.LastReadOffset+1)
	s.decidePending(effect, w.LastReadOffset)
}

// decidePending decides the pending publications once the state is known right
// after lastReadOffset. Those up to that offset become undecided, except the one in
// force, which was accepted.
func (s *State) decidePending(effect *Effect, lastReadOffset int64) {
	pending := s.pendingPublishes
	s.pendingPublishes = nil
	for _, p := range pending {
		if p.offset > lastReadOffset {
			s.decide(effect, p.offset, time.Time{}, p.publish)
			continue
		}
		d := Decision{Offset: p.offset, Status: Undecided, Version: s.logCurrent.Version, Publish: p.publish}
		if p.offset == s.logCurrent.Version {
			d.Status = Accepted
		}
		if s.history.add(d) {
			effect.Decisions = append(effect.Decisions, d)
		}
	}
}

// establish sets the configuration that the log has in force, when a rewrite, a
// reset or an adopted configuration makes it known.
func (s *State) establish(current Current, anchor int64) {
	s.isEstablished = true
	s.logCurrent = current
	s.anchor = anchor
	s.anchorTime = s.firstReadTime
}

// moveAnchor sets the anchor to the record at offset, a rewrite or an accepted reset
// that establishes a new reader without earlier records.
func (s *State) moveAnchor(offset int64, at time.Time) {
	s.anchor = offset
	s.anchorTime = at
	s.isAnchorMissing = false
}

// Adopt puts a configuration into force that a peer has in force. It has no effect
// unless its version is above the current one; it fails if the configuration is not
// valid. The log contradicts an adopted version only if the peer was wrong. The
// adopted version then stays in force until the log accepts a later one, so that
// the version never decreases.
func (s *State) Adopt(version int64, publish records.ConfigPublish) (Effect, error) {
	var effect Effect
	if version <= s.Current().Version {
		return effect, nil
	}
	config, err := parsePublication(publish)
	if err != nil {
		return effect, err
	}
	s.adopted = Current{Version: version, Publish: publish, Config: config}
	effect.Changed = true
	s.isConflictReported = false
	s.reconcileAdopted(&effect)
	return effect, nil
}

// reconcileAdopted compares the adopted configuration with the log, once the log was
// read past its version. ApplyAt and Adopt call it at their end.
func (s *State) reconcileAdopted(effect *Effect) {
	if s.adopted.Version == records.NoVersion {
		return
	}
	// The adopted publication was in force right after its own offset. If every
	// later record was read, the version on the log is known. New readers cannot
	// learn it from the log, so there is no anchor.
	if !s.isEstablished && s.adopted.Version >= s.firstRead-1 && s.adopted.Version < s.next {
		s.establish(s.adopted, s.adopted.Version+1)
		s.isAnchorMissing = true
		s.decidePending(effect, s.adopted.Version)
	}
	if !s.isEstablished || s.next <= s.adopted.Version {
		return
	}
	if s.logCurrent.Version >= s.adopted.Version {
		s.adopted = Current{Version: records.NoVersion}
		return
	}
	if s.isConflictReported {
		return
	}
	s.isConflictReported = true
	effect.Conflict = fmt.Sprintf("a peer gave version %d, but the log has version %d in force at offset %d",
		s.adopted.Version, s.logCurrent.Version, s.next-1)
}

// Rewrite returns the record that repeats the configuration in force on the log. ok
// is false if the state is not established or no record was read.
func (s *State) Rewrite() (rec records.Record, ok bool) {
	if !s.isEstablished || s.next == 0 {
		return records.Record{}, false
	}
	return records.Record{ConfigRewrite: &records.ConfigRewrite{
		Version:        s.logCurrent.Version,
		LastReadOffset: s.next - 1,
		Publish:        s.logCurrent.Publish,
	}}, true
}

// NeedsRewrite reports whether a rewrite must be written: the record at the anchor
// has less than a third of its retention time left, or the log has no anchor. now is
// the wall clock time of the log. It is false while Rewrite returns no record.
func (s *State) NeedsRewrite(now time.Time, retention time.Duration) bool {
	if !s.isEstablished || s.next == 0 {
		return false
	}
	if s.isAnchorMissing {
		return true
	}
	if s.anchorTime.IsZero() {
		return false
	}
	return now.Sub(s.anchorTime) > retention-retention/3
}

// Anchor returns the offset from which a new reader must read the stream to become
// established.
func (s *State) Anchor() int64 {
	return s.anchor
}

// parsePublication returns the configuration in a publication. It fails if the
// publication has no id or its YAML is not valid.
func parsePublication(p records.ConfigPublish) (*structs.ClusterConfig, error) {
	if strings.TrimSpace(p.ID) == "" {
		return nil, fmt.Errorf("the publication has no id")
	}
	return clusterconfig.Parse("config", []byte(p.YAML))
}
