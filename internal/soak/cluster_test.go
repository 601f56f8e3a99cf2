package soak

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/election"
	"gypsumwinch/standin/fleet"
	"gypsumwinch/standin/storeserver"
)

// TestTwoOwnersOfATermAreSeen guards against two VMs that use one term unseen, also if their processes have the same instance.
func TestTwoOwnersOfATermAreSeen(t *testing.T) {
	for _, test := range []struct {
		name   string
		second election.OwnerRecord
		broken int
	}{
		{"same process", election.OwnerRecord{Term: 3, Node: "vm-0", Instance: "a"}, 0},
		{"next term", election.OwnerRecord{Term: 4, Node: "vm-1", Instance: "b"}, 0},
		{"another process", election.OwnerRecord{Term: 3, Node: "vm-0", Instance: "b"}, 1},
		{"another VM with the same instance", election.OwnerRecord{Term: 3, Node: "vm-1", Instance: "a"}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &cluster{startedAt: time.Now(), fleet: fleet.New(1), holders: map[int64]string{}}
			for _, r := range []election.OwnerRecord{{Term: 3, Node: "vm-0", Instance: "a"}, test.second} {
				value, err := json.Marshal(r)
				is.NoErr(err)
				c.recordAppend("", storeserver.OwnerTopic, cell.KeyValue{Value: value})
			}
			broken := c.allViolations()
			is.Equal(len(broken), test.broken)
			is.True(test.broken == 0 || strings.Contains(broken[0], "ONE"))
		})
	}
}
