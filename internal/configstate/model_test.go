package configstate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumwinch/internal/records"
)

// cluster is a model of a log with retention and of VMs that read it. It holds the
// expected result: the rule of section 5.4 of the design page, applied to all
// records ever written.
type cluster struct {
	t             *rapid.T
	log           []storedRecord
	firstRetained int64
	vms           []*vm
	sent          []records.Record // records of which late copies may be appended
	idCount       int

	acceptedOffsets    []int64
	acceptedOffsetByID map[string]int64
	acceptedIDByBase   map[int64]string
	// hasFutureBase marks the publications whose base did not exist yet.
	// operatorapi refuses them, because a copy can be accepted after the first one
	// was refused.
	hasFutureBase map[string]bool
}

// storedRecord is a record on the log of the model.
type storedRecord struct {
	rec records.Record
	at  time.Time
	// inForce is the version in force after the record.
	inForce int64
}

// vm is a VM that reads the log.
type vm struct {
	state *State
	// shownVersion is the version that the VM had in force at the last check.
	shownVersion int64
}

// newCluster returns a model with an empty log and a number of VMs.
func newCluster(t *rapid.T, vms int) *cluster {
	c := &cluster{t: t, acceptedOffsetByID: map[string]int64{}, acceptedIDByBase: map[int64]string{}, hasFutureBase: map[string]bool{}}
	for range vms {
		c.vms = append(c.vms, &vm{state: New(), shownVersion: records.NoVersion})
	}
	return c
}

// version returns the version in force at the end of the log.
func (c *cluster) version() int64 {
	if len(c.log) == 0 {
		return records.NoVersion
	}
	return c.log[len(c.log)-1].inForce
}

// append adds a record to the log and decides it by the rule. It fails the test if
// the rule accepts two publications with the same base or id.
func (c *cluster) append(rec records.Record, at time.Time) {
	offset, current := int64(len(c.log)), c.version()
	if p := rec.ConfigPublish; p != nil && p.YAML == yamlFor(2) {
		if p.Base == current || p.Base == records.BaseReset && current <= p.LastReadOffset {
			if acceptedID, ok := c.acceptedIDByBase[current]; ok {
				c.t.Fatalf("%s and %s both follow version %d", acceptedID, p.ID, current)
			}
			c.acceptedIDByBase[current] = p.ID
			if _, ok := c.acceptedOffsetByID[p.ID]; ok {
				c.t.Fatalf("%s is accepted twice", p.ID)
			}
			c.acceptedOffsets = append(c.acceptedOffsets, offset)
			c.acceptedOffsetByID[p.ID] = offset
			current = offset
		}
	}
	c.log = append(c.log, storedRecord{rec: rec, at: at, inForce: current})
}

// publish returns a publication as a VM makes it. Its base is the version that the
// VM has in force, an older one, one that does not exist yet, or a special one.
func (c *cluster) publish(v *vm) records.Record {
	base := v.state.Current().Version
	switch rapid.IntRange(0, 9).Draw(c.t, "base") {
	case 0:
		base = records.NoVersion
	case 1:
		base = records.BaseReset
	case 2:
		base = int64(len(c.log)) + rapid.Int64Range(0, 3).Draw(c.t, "ahead")
	case 3:
		if n := len(c.acceptedOffsets); n > 0 {
			base = c.acceptedOffsets[rapid.IntRange(0, n-1).Draw(c.t, "old")]
		}
	}
	yaml := yamlFor(2)
	if rapid.IntRange(0, 9).Draw(c.t, "yaml") == 0 {
		yaml = "classes: []"
	}
	c.idCount++
	id := fmt.Sprint("p", c.idCount)
	c.hasFutureBase[id] = base >= int64(len(c.log))
	return records.Record{ConfigPublish: &records.ConfigPublish{
		ID: id, Base: base, YAML: yaml, LastReadOffset: v.state.Next() - 1,
	}}
}

// read applies up to n records to a VM and checks it after each.
func (c *cluster) read(v *vm, n int) {
	v.state.SkipTo(c.firstRetained)
	for ; n > 0 && v.state.Next() < int64(len(c.log)); n-- {
		offset := v.state.Next()
		effect := v.state.ApplyAt(offset, c.log[offset].at, c.log[offset].rec)
		if effect.Conflict != "" {
			c.t.Fatalf("conflict reported although no peer was wrong: %s", effect.Conflict)
		}
		c.check(v)
	}
}

// check compares a VM with the expected result.
func (c *cluster) check(v *vm) {
	current := v.state.Current()
	if current.Version < v.shownVersion {
		c.t.Fatalf("version decreased from %d to %d", v.shownVersion, current.Version)
	}
	v.shownVersion = current.Version
	if current.Version >= 0 {
		offset := current.Version
		if c.log[offset].inForce != offset || c.log[offset].rec.ConfigPublish.ID != current.Publish.ID {
			c.t.Fatalf("version %d is in force on a VM, but was never accepted", offset)
		}
	}
	if next := v.state.Next(); v.state.Established() && next > 0 {
		if want := c.log[next-1].inForce; v.state.logCurrent.Version != want {
			c.t.Fatalf("after offset %d, version %d is in force, a VM has %d", next-1, want, v.state.logCurrent.Version)
		}
	}
	c.checkHistory(v)
}

// checkHistory compares the decisions that a VM retains with the expected ones.
func (c *cluster) checkHistory(v *vm) {
	accepted := map[string]bool{}
	for _, d := range v.state.History() {
		id := d.Publish.ID
		offset, ok := c.acceptedOffsetByID[id]
		if d.Status == Accepted && (!ok || offset != d.Offset || accepted[id]) {
			c.t.Fatalf("%s is recorded as accepted at offset %d; expected: accepted %t, at %d", id, d.Offset, ok, offset)
		}
		accepted[id] = accepted[id] || d.Status == Accepted
		last, _ := v.state.Decision(id)
		if last.Status == Refused && ok && offset < v.state.Next() && !c.hasFutureBase[id] {
			c.t.Fatalf("%s was accepted, but a VM reports it as refused: %s", id, last.Reason)
		}
	}
}

// Guards against VMs that disagree about the configuration, return to an earlier
// version, accept two concurrent publications, or report an accepted publication as
// refused. Records are dropped, copied and delayed, and VMs restart.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 4)
		drawVM := func(label string) *vm {
			return c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(t, label)]
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				rec := c.publish(drawVM("publisher"))
				c.sent = append(c.sent, rec)
				c.append(rec, time.Time{})
			},
			"publish, arrives late": func(*rapid.T) {
				c.sent = append(c.sent, c.publish(drawVM("publisher")))
			},
			"copy": func(*rapid.T) {
				if len(c.sent) > 0 {
					c.append(c.sent[rapid.IntRange(0, len(c.sent)-1).Draw(t, "sent")], time.Time{})
				}
			},
			"rewrite": func(*rapid.T) {
				if rec, ok := drawVM("writer").state.Rewrite(); ok {
					c.sent = append(c.sent, rec)
					if rapid.Bool().Draw(t, "at once") {
						c.append(rec, time.Time{})
					}
				}
			},
			"drop": func(*rapid.T) {
				c.firstRetained = rapid.Int64Range(c.firstRetained, int64(len(c.log))).Draw(t, "first")
			},
			"read": func(*rapid.T) {
				c.read(drawVM("reader"), rapid.IntRange(1, 20).Draw(t, "records"))
			},
			"restart": func(*rapid.T) {
				*drawVM("restarted") = vm{state: New(), shownVersion: records.NoVersion}
			},
			"adopt": func(*rapid.T) {
				from, to := drawVM("from").state.Current(), drawVM("to")
				if from.Version < 0 {
					return
				}
				effect, err := to.state.Adopt(from.Version, from.Publish)
				if err != nil || effect.Conflict != "" {
					t.Fatalf("adopt version %d: %v %s", from.Version, err, effect.Conflict)
				}
				if to.state.Current().Version < from.Version {
					t.Fatalf("version %d was not adopted", from.Version)
				}
				c.check(to)
			},
		})
		for _, v := range c.vms {
			c.read(v, len(c.log))
		}
	})
}

// startVM returns a VM that starts with an empty state and reads the retained
// records. It fails the test if the VM is not established then.
func (c *cluster) startVM() *vm {
	v := &vm{state: New(), shownVersion: records.NoVersion}
	c.read(v, len(c.log))
	if !v.state.Established() {
		c.t.Fatalf("a new VM that starts at offset %d of %d is not established", c.firstRetained, len(c.log))
	}
	return v
}

// Guards against a log from which a new VM cannot become established, because the
// rewrite was written too late or depends on records that were dropped.
func TestRewritesKeepTheLogUsable(t *testing.T) {
	const retention = 90 * time.Minute
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		now := time.Unix(1_000_000, 0)
		c.append(publication("first", records.NoVersion), now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			// A step is shorter than a third of the retention time, as is the interval
			// at which a VM calls NeedsRewrite.
			now = now.Add(time.Duration(rapid.IntRange(0, 14).Draw(t, "minutes")) * time.Minute)
			for c.firstRetained < int64(len(c.log)) && now.Sub(c.log[c.firstRetained].at) > retention {
				c.firstRetained++
			}
			c.startVM()
			for _, v := range c.vms {
				c.read(v, len(c.log))
			}
			var rewrites []records.Record
			for _, v := range c.vms {
				if v.state.NeedsRewrite(now, retention) {
					rec, _ := v.state.Rewrite()
					rewrites = append(rewrites, rec)
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
				c.append(c.publish(c.vms[0]), now)
			}
			for _, rec := range rewrites {
				c.append(rec, now)
			}
			c.sent = append(c.sent, rewrites...)
			if len(c.sent) > 0 && rapid.IntRange(0, 5).Draw(t, "late copy") == 0 {
				c.append(c.sent[rapid.IntRange(0, len(c.sent)-1).Draw(t, "sent")], now)
			}
			restarted := c.startVM()
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				c.vms[rapid.IntRange(0, 2).Draw(t, "restarted")] = restarted
			}
		}
	})
}
