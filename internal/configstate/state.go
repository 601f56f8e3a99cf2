// Package configstate computes which configuration is in force from the log
// stream that holds the configuration.
//
// A publication proposes a configuration. Its base is the version that it
// replaces. A version is the offset of the publication that was accepted, so
// versions only grow. Whether a publication is accepted depends only on its
// content and the records before it, so that all readers agree. A reset is a
// publication with the base records.BaseReset: it replaces whatever version is in
// force, if no version came into force after the last record that its publisher
// had read.
//
// A reader is established if it knows which version the log has in force. A
// reader that starts in the middle of the stream, because the log dropped the
// beginning, is not. It leaves publications pending until it reads a rewrite, a
// record that repeats the version in force, whose writer had read every record
// that this reader missed. A reset or an adopted configuration can establish it as
// well. To adopt a configuration is to take it over from a peer that has it in
// force. The anchor is the offset from which a new reader must read to become
// established; the caller writes a rewrite before retention drops the record there.
//
// The package does not read or write the log and does not send changes to other
// VMs. The YAML is parsed by package clusterconfig. Read State and its methods
// Apply and Adopt first.
package configstate

import (
	"time"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// Status is the outcome of a publication.
type Status string

// The outcomes of a publication.
const (
	// Accepted means that the publication came into force.
	Accepted Status = "accepted"
	// Refused means that the publication had no effect.
	Refused Status = "refused"
	// Undecided means that this reader cannot determine the outcome, because it
	// has not read the part of the stream on which it depends.
	Undecided Status = "undecided"
)

// Decision is the outcome of one publication at one offset.
type Decision struct {
	Offset int64
	Status Status
	// Reason is why the publication was refused or had no effect.
	Reason string
	// Version is the version in force after the decision.
	Version int64
	Publish records.ConfigPublish
	// PreviousYAML is the YAML in force before the publication.
	PreviousYAML string
}

// Current is the configuration in force.
type Current struct {
	// Version is records.NoVersion if no configuration is in force.
	Version int64
	Publish records.ConfigPublish
	// Config is shared between readers and must not be changed. It is nil if no
	// configuration is in force.
	Config *structs.ClusterConfig
}

// Effect is the result of applying one record or adopting one configuration.
type Effect struct {
	// Decisions holds the new decisions, by offset.
	Decisions []Decision
	// Changed is set if the version that Current returns has changed.
	Changed bool
	// Conflict describes how the log contradicts a configuration adopted from a
	// peer. It is set once per adopted configuration, which stays in force until
	// the log has a later version.
	Conflict string
}

// State is the state of the configuration at an offset of the stream. It is not
// safe for concurrent use.
type State struct {
	// next is the offset of the next record to read.
	next int64
	// firstRead is the offset from which no record up to next was missed.
	firstRead int64
	// isEstablished is set if logCurrent is known to be what the log has in force
	// at next.
	isEstablished bool
	// logCurrent is the configuration in force according to the log.
	logCurrent Current
	// adopted is the configuration received from a peer or read before a gap,
	// until logCurrent has a version at least as high.
	adopted Current
	// lastPublishOffset is the offset of the last publication read.
	lastPublishOffset int64
	// pendingPublishes holds the publications read before the state was established.
	pendingPublishes []pendingPublish
	history          *history

	// anchor is the offset from which a new reader must read to become
	// established. anchorTime is the time at which the log stored that record,
	// zero if unknown.
	anchor     int64
	anchorTime time.Time
	// firstReadTime is the time at which the log stored the record at firstRead.
	firstReadTime time.Time
	// isAnchorMissing is set if no record on the log can establish a new reader.
	isAnchorMissing bool
	// isConflictReported is set once an Effect has reported the conflict between
	// adopted and the log.
	isConflictReported bool
}

// pendingPublish is a publication read before the state was established.
type pendingPublish struct {
	offset  int64
	publish records.ConfigPublish
}

// New returns the state before the first record of the stream. It is established
// and has no configuration in force.
func New() *State {
	return &State{
		isEstablished:     true,
		logCurrent:        Current{Version: records.NoVersion},
		adopted:           Current{Version: records.NoVersion},
		lastPublishOffset: records.NoVersion,
		history:           newHistory(),
	}
}

// Next returns the offset of the next record to read.
func (s *State) Next() int64 {
	return s.next
}

// Established reports whether the reader knows what the log has in force at Next.
// While it does not, publications stay pending.
func (s *State) Established() bool {
	return s.isEstablished
}

// Current returns the configuration in force: the one with the highest version that
// the log or a peer has provided.
func (s *State) Current() Current {
	if s.adopted.Version > s.logCurrent.Version {
		return s.adopted
	}
	return s.logCurrent
}

// SkipTo moves the state to offset after the log dropped all records before it. If
// records were missed, the state is not established any more. The version in force
// stays. An offset up to Next has no effect.
func (s *State) SkipTo(offset int64) {
	if offset <= s.next {
		return
	}
	if s.logCurrent.Version > s.adopted.Version {
		s.adopted = s.logCurrent
	}
	s.next = offset
	s.firstRead = offset
	s.firstReadTime = time.Time{}
	s.isEstablished = false
	s.pendingPublishes = nil
	s.lastPublishOffset = records.NoVersion
}

// Apply applies one record and returns the changes. A record at an offset that was
// read already has no effect. An offset above Next means that the log dropped the
// records between.
func (s *State) Apply(offset int64, rec records.Record) Effect {
	return s.ApplyAt(offset, time.Time{}, rec)
}

// ApplyAt is Apply for a record with the time at which the log stored it.
// NeedsRewrite uses the time; it does not influence decisions.
func (s *State) ApplyAt(offset int64, at time.Time, rec records.Record) Effect {
	if offset < s.next {
		return Effect{}
	}
	s.SkipTo(offset)
	previousVersion := s.Current().Version
	if offset == s.firstRead {
		s.firstReadTime = at
		if offset == 0 {
			s.anchorTime = at
		}
	}
	s.next = offset + 1
	var effect Effect
	switch {
	case rec.ConfigPublish != nil:
		s.publish(&effect, offset, at, *rec.ConfigPublish)
	case rec.ConfigRewrite != nil:
		s.rewrite(&effect, offset, at, rec.ConfigRewrite)
	}
	s.reconcileAdopted(&effect)
	effect.Changed = s.Current().Version != previousVersion
	return effect
}

// Decision returns the outcome of the publication with the given id. It returns
// false if the publication is unknown or its decision is not retained any more.
func (s *State) Decision(id string) (Decision, bool) {
	decision, ok := s.history.byID(id)
	if ok && decision.Status == Accepted {
		return decision, true
	}
	// A pending copy may be accepted although an earlier copy was refused.
	for _, p := range s.pendingPublishes {
		if p.publish.ID == id {
			return Decision{Offset: p.offset, Status: Undecided, Version: s.Current().Version, Publish: p.publish}, true
		}
	}
	return decision, ok
}

// History returns the retained decisions, oldest first.
func (s *State) History() []Decision {
	return s.history.list()
}
