package configstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/records"
)

// yamlFor returns a valid configuration with the given finish target.
func yamlFor(seconds int) string {
	return fmt.Sprintf("classes: [{name: a, start_target: 1s, finish_target: %ds}]", seconds)
}

// publication returns a publication of a valid configuration.
func publication(id string, base int64) records.Record {
	return records.Record{ConfigPublish: &records.ConfigPublish{ID: id, Base: base, YAML: yamlFor(2), Who: "w", Why: "y"}}
}

// Guards against accepting two concurrent publications with the same base.
func TestOneOfTwoRacingPublicationsWins(t *testing.T) {
	is := is.New(t)
	s := New()
	first := s.Apply(0, publication("a", records.NoVersion))
	is.Equal(first.Decisions[0].Status, Accepted)
	second := s.Apply(1, publication("b", records.NoVersion))
	is.Equal(second.Decisions[0].Status, Refused)
	is.Equal(s.Current().Version, int64(0))
	third := s.Apply(2, publication("c", 0))
	is.True(third.Changed)
	is.Equal(s.Current().Version, int64(2))
}

// Guards against a repeated append of a publication that counts as a second change
// or turns the accepted one into a refused one.
func TestRepeatedIDCountsOnce(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(0, publication("a", records.NoVersion))
	repeated := s.Apply(1, publication("a", records.NoVersion))
	is.Equal(len(repeated.Decisions), 0)
	d, ok := s.Decision("a")
	is.True(ok)
	is.Equal(d.Status, Accepted)
	is.Equal(len(s.History()), 1)
}

// Guards against a configuration that cannot be parsed and comes into force.
func TestUnparsablePublicationIsRefused(t *testing.T) {
	is := is.New(t)
	s := New()
	e := s.Apply(0, records.Record{ConfigPublish: &records.ConfigPublish{ID: "a", Base: -1, YAML: "classes: 3"}})
	is.Equal(e.Decisions[0].Status, Refused)
	is.Equal(s.Current().Version, records.NoVersion)
}

// Guards against a reader that missed the start of the stream and decides without
// knowing the version in force, and against one that a rewrite does not establish.
func TestRewriteRestoresVersion(t *testing.T) {
	is := is.New(t)
	full := New()
	full.Apply(0, publication("a", records.NoVersion))
	w, ok := full.Rewrite()
	is.True(ok)

	late := New()
	is.Equal(late.Apply(1, publication("b", 0)).Changed, false)
	is.Equal(late.Established(), false)
	e := late.Apply(2, w)
	is.True(e.Changed)
	is.Equal(late.Current().Version, int64(1)) // the base of b is the version in the rewrite

	later := New()
	later.Apply(2, w) // the record at offset 1 may have changed the version
	is.Equal(later.Established(), false)
}

// Guards against a version that decreases when the reader has not read the log as
// far as a peer.
func TestAdoptNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := New()
	_, err := s.Adopt(5, *publication("p", 3).ConfigPublish)
	is.NoErr(err)
	s.Apply(0, publication("a", records.NoVersion))
	is.Equal(s.Current().Version, int64(5))
	e, err := s.Adopt(4, *publication("q", 3).ConfigPublish)
	is.NoErr(err)
	is.Equal(e.Changed, false)
	is.Equal(s.Current().Publish.ID, "p")
}

// Guards against a rewrite that is written only after retention dropped the record
// at the anchor.
func TestNeedsRewrite(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	s := New()
	s.ApplyAt(0, start, publication("a", records.NoVersion))
	is.Equal(s.NeedsRewrite(start.Add(39*time.Minute), time.Hour), false)
	is.True(s.NeedsRewrite(start.Add(41*time.Minute), time.Hour))
	w, _ := s.Rewrite()
	s.ApplyAt(1, start.Add(41*time.Minute), w)
	is.Equal(s.NeedsRewrite(start.Add(42*time.Minute), time.Hour), false)
	is.Equal(s.Anchor(), int64(1))
}

// Guards against a log that never establishes new VMs again after every record was
// dropped, although one VM still has the configuration.
func TestAdoptedConfigurationIsRewritten(t *testing.T) {
	is := is.New(t)
	s := New()
	s.SkipTo(6)
	is.Equal(s.Established(), false)
	_, err := s.Adopt(5, *publication("p", 3).ConfigPublish)
	is.NoErr(err)
	is.True(s.Established())
	is.True(s.NeedsRewrite(time.Unix(1000, 0), time.Hour))
	w, ok := s.Rewrite()
	is.True(ok)
	s.ApplyAt(6, time.Unix(1000, 0), w)
	is.Equal(s.NeedsRewrite(time.Unix(1001, 0), time.Hour), false)

	late := New()
	is.True(late.Apply(6, w).Changed)
	is.Equal(late.Current().Version, int64(5))
}

// Guards against a peer with a wrong version that makes the version decrease, blocks
// later versions, or is not reported.
func TestLogContradictsPeer(t *testing.T) {
	is := is.New(t)
	s := New()
	_, err := s.Adopt(1, *publication("wrong", 0).ConfigPublish)
	is.NoErr(err)
	is.Equal(s.Apply(0, publication("a", records.NoVersion)).Conflict, "")
	is.True(s.Apply(1, publication("b", records.NoVersion)).Conflict != "")
	is.Equal(s.Current().Version, int64(1))
	is.Equal(s.Apply(2, publication("c", 7)).Conflict, "") // reported once
	s.Apply(3, publication("d", 0))
	is.Equal(s.Current().Publish.ID, "d")
}
