package configstate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumwinch/internal/records"
)

// cluster is a log with a retention limit, VMs that fold it, and the truth: the
// rule of section 5.4 of the design page, applied to all records ever written.
type cluster struct {
	t     *rapid.T
	log   []stored
	first int64
	vms   []*vm
	sent  []records.Record // for copies that arrive late
	ids   int

	// accepted holds the offsets of the accepted publications.
	accepted []int64
	// byID holds the offset of each accepted publication.
	byID    map[string]int64
	winners map[int64]string
	// ahead holds the publications whose base did not exist yet. operatorapi
	// refuses them, since a copy can be accepted after the first was refused.
	ahead map[string]bool
}

type stored struct {
	rec records.Record
	at  time.Time
	// inForce is the version after the record.
	inForce int64
}

type vm struct {
	state *State
	shown int64
}

func newCluster(t *rapid.T, vms int) *cluster {
	c := &cluster{t: t, byID: map[string]int64{}, winners: map[int64]string{}, ahead: map[string]bool{}}
	for range vms {
		c.vms = append(c.vms, &vm{state: New(), shown: records.NoVersion})
	}
	return c
}

func (c *cluster) version() int64 {
	if len(c.log) == 0 {
		return records.NoVersion
	}
	return c.log[len(c.log)-1].inForce
}

// append adds a record to the log and decides it by the rule.
func (c *cluster) append(rec records.Record, at time.Time) {
	offset, current := int64(len(c.log)), c.version()
	if p := rec.ConfigPublish; p != nil && p.YAML == yamlFor(2) {
		if p.Base == current || p.Base == records.BaseReset && current <= p.LastReadOffset {
			if winner, ok := c.winners[current]; ok {
				c.t.Fatalf("%s and %s both follow version %d", winner, p.ID, current)
			}
			c.winners[current] = p.ID
			if _, ok := c.byID[p.ID]; ok {
				c.t.Fatalf("%s is accepted twice", p.ID)
			}
			c.accepted = append(c.accepted, offset)
			c.byID[p.ID] = offset
			current = offset
		}
	}
	c.log = append(c.log, stored{rec: rec, at: at, inForce: current})
}

// publish makes a publication as a VM does. Its base is the version that the VM
// shows, an older one, one that does not exist yet, or the
// special ones.
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
		if n := len(c.accepted); n > 0 {
			base = c.accepted[rapid.IntRange(0, n-1).Draw(c.t, "old")]
		}
	}
	yaml := yamlFor(2)
	if rapid.IntRange(0, 9).Draw(c.t, "yaml") == 0 {
		yaml = "classes: []"
	}
	c.ids++
	id := fmt.Sprint("p", c.ids)
	c.ahead[id] = base >= int64(len(c.log))
	return records.Record{ConfigPublish: &records.ConfigPublish{
		ID: id, Base: base, YAML: yaml, LastReadOffset: v.state.Next() - 1,
	}}
}

// read folds up to n records into a VM.
func (c *cluster) read(v *vm, n int) {
	v.state.SkipTo(c.first)
	for ; n > 0 && v.state.Next() < int64(len(c.log)); n-- {
		offset := v.state.Next()
		effect := v.state.ApplyAt(offset, c.log[offset].at, c.log[offset].rec)
		if effect.Conflict != "" {
			c.t.Fatalf("conflict without a wrong peer: %s", effect.Conflict)
		}
		c.check(v)
	}
}

// check compares a VM with the truth.
func (c *cluster) check(v *vm) {
	current := v.state.Current()
	if current.Version < v.shown {
		c.t.Fatalf("version went back from %d to %d", v.shown, current.Version)
	}
	v.shown = current.Version
	if current.Version >= 0 {
		offset := current.Version
		if c.log[offset].inForce != offset || c.log[offset].rec.ConfigPublish.ID != current.Publish.ID {
			c.t.Fatalf("version %d is in force on a VM, but was never accepted", offset)
		}
	}
	if next := v.state.Next(); v.state.Established() && next > 0 {
		if want := c.log[next-1].inForce; v.state.folded.Version != want {
			c.t.Fatalf("after offset %d, version %d is in force, a VM has %d", next-1, want, v.state.folded.Version)
		}
	}
	c.checkHistory(v)
}

// checkHistory compares the decisions that a VM remembers with the truth.
func (c *cluster) checkHistory(v *vm) {
	accepted := map[string]bool{}
	for _, d := range v.state.History() {
		id := d.Publish.ID
		offset, ok := c.byID[id]
		if d.Status == Accepted && (!ok || offset != d.Offset || accepted[id]) {
			c.t.Fatalf("%s counts as accepted at offset %d, but was accepted: %t, at %d", id, d.Offset, ok, offset)
		}
		accepted[id] = accepted[id] || d.Status == Accepted
		last, _ := v.state.Decision(id)
		if last.Status == Refused && ok && offset < v.state.Next() && !c.ahead[id] {
			c.t.Fatalf("%s was accepted, a VM says refused: %s", id, last.Reason)
		}
	}
}

// Guards against VMs that disagree about the configuration, go back to an
// earlier one, accept two racing publications, or report an accepted
// publication as refused, whatever the log drops and whichever copies arrive.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 4)
		pick := func(label string) *vm {
			return c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(t, label)]
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				rec := c.publish(pick("publisher"))
				c.sent = append(c.sent, rec)
				c.append(rec, time.Time{})
			},
			"publish, arrives late": func(*rapid.T) {
				c.sent = append(c.sent, c.publish(pick("publisher")))
			},
			"copy": func(*rapid.T) {
				if len(c.sent) > 0 {
					c.append(c.sent[rapid.IntRange(0, len(c.sent)-1).Draw(t, "sent")], time.Time{})
				}
			},
			"rewrite": func(*rapid.T) {
				if rec, ok := pick("writer").state.Rewrite(); ok {
					c.sent = append(c.sent, rec)
					if rapid.Bool().Draw(t, "at once") {
						c.append(rec, time.Time{})
					}
				}
			},
			"drop": func(*rapid.T) {
				c.first = rapid.Int64Range(c.first, int64(len(c.log))).Draw(t, "first")
			},
			"read": func(*rapid.T) {
				c.read(pick("reader"), rapid.IntRange(1, 20).Draw(t, "records"))
			},
			"restart": func(*rapid.T) {
				*pick("restarted") = vm{state: New(), shown: records.NoVersion}
			},
			"adopt": func(*rapid.T) {
				from, to := pick("from").state.Current(), pick("to")
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

// fresh returns a VM that starts with an empty state and reads what is kept.
func (c *cluster) fresh() *vm {
	v := &vm{state: New(), shown: records.NoVersion}
	c.read(v, len(c.log))
	if !v.state.Established() {
		c.t.Fatalf("a new VM that starts at offset %d of %d cannot tell what is in force", c.first, len(c.log))
	}
	return v
}

// Guards against a configuration that a new VM cannot learn from the log, since
// its rewrite came too late or does not suffice.
func TestRewritesKeepTheLogUsable(t *testing.T) {
	const retention = 90 * time.Minute
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		now := time.Unix(1_000_000, 0)
		c.append(publication("first", records.NoVersion), now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			// A step is below a third of the retention time, as are the pauses of
			// a VM that checks for the rewrite in time.
			now = now.Add(time.Duration(rapid.IntRange(0, 14).Draw(t, "minutes")) * time.Minute)
			for c.first < int64(len(c.log)) && now.Sub(c.log[c.first].at) > retention {
				c.first++
			}
			c.fresh()
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
			fresh := c.fresh()
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				c.vms[rapid.IntRange(0, 2).Draw(t, "restarted")] = fresh
			}
		}
	})
}
