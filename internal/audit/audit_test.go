package audit

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/configstate"
	"gypsumwinch/internal/records"
)

// Guards against a change that is missing from the trail or listed twice: three
// VMs write the same entry for each of three changes.
func TestTrailListsEachChangeOnce(t *testing.T) {
	is := is.New(t)
	state := configstate.New()
	trail := New()
	var offset int64
	for i, base := range []int64{records.NoVersion, records.NoVersion, 0} {
		publish := records.ConfigPublish{
			ID: string(rune('a' + i)), Base: base, Who: "w", Why: "y",
			YAML: "classes: [{name: a, start_target: 1s, finish_target: 2s}]",
		}
		entries := Entries(state.Apply(int64(i), records.Record{ConfigPublish: &publish}))
		is.Equal(len(trail.Missing(entries)), 1)
		for vm := range 3 {
			is.Equal(trail.Apply(offset, entries[0]), vm == 0)
			offset++
		}
		is.Equal(len(trail.Missing(entries)), 0)
	}
	newest := trail.Newest(10)
	is.Equal(len(newest), 3)
	is.Equal(newest[0].ID, "c")
	is.True(newest[0].Accepted)
	is.Equal(newest[0].Version, int64(2))
	is.Equal(newest[1].Accepted, false)
	is.Equal(len(trail.Newest(1)), 1)
}

// Guards against entries that a VM writes again because it no longer knows that
// they are on the log: the trail retains more ids than entries. Guards also
// against an acceptance that is ignored after an entry of a refusal.
func TestTrailRemembersMoreThanItLists(t *testing.T) {
	is := is.New(t)
	trail := New()
	const changes = 3 * MaxEntries
	for i := range int64(changes) {
		trail.Apply(i, records.Record{Audit: &records.Audit{ID: fmt.Sprint(i)}})
	}
	is.True(trail.Has("0", false))
	is.True(len(trail.Newest(changes)) < 2*MaxEntries)
	is.Equal(trail.Newest(1)[0].ID, fmt.Sprint(changes-1))
	// The first entry for change 5 says refused: it came from a VM that had not
	// read the whole configuration stream.
	is.True(trail.Apply(changes, records.Record{Audit: &records.Audit{ID: "5", Accepted: true}}))
	is.Equal(trail.Newest(1)[0].ID, "5")
}
