package requestlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"
	"pgregory.net/rapid"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newID returns an id with the time at; n distinguishes ids of the same time.
func newID(at time.Time, n int) string {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(at))
	id[15] = byte(n)
	return id.String()
}

// startRecord returns the record of a start with number 0.
func startRecord(id, instance string) records.Record {
	return records.Record{RequestStart: &records.RequestStart{ID: id, Instance: instance}}
}

// testWindow is the window of generated streams.
const testWindow = 10 * time.Minute

// timedRecord is a record with the time at which the log received it.
type timedRecord struct {
	at     time.Time
	record records.Record
}

// logGenerator generates streams of starts of a few ids, some of them late,
// repeated or by several instances.
var logGenerator = rapid.Custom(func(t *rapid.T) []timedRecord {
	var log []timedRecord
	now := epoch
	for range rapid.IntRange(1, 120).Draw(t, "records") {
		now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * time.Second)
		created := epoch.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "created")) * time.Minute)
		id := newID(created, rapid.IntRange(0, 1).Draw(t, "id"))
		instance := fmt.Sprintf("i%d", rapid.IntRange(0, 2).Draw(t, "instance"))
		log = append(log, timedRecord{now, startRecord(id, instance)})
	}
	return log
})

// checkSingleWinner returns an error if two starts of an id win, either for one
// reader of the whole stream, or for that reader and one that begins at the first
// retained record. Of the starts that win for the late reader, those within the
// last maxAppendDelay count, since it may act on them. With dropsIDs, the reader
// of the whole stream drops its ids at every tenth offset.
func checkSingleWinner(log []timedRecord, retention time.Duration, dropsIDs bool) error {
	winners := map[string]string{}
	fullReader := New(testWindow)
	for offset, e := range log {
		if dropsIDs && offset%10 == 0 {
			clear(fullReader.entries)
			fullReader.idsByAge = nil
		}
		effect := fullReader.Apply(int64(offset), e.at, e.record)
		if !effect.Won {
			continue
		}
		if winners[effect.ID] != "" {
			return fmt.Errorf("id %s: the starts of instances %s and %s both win", effect.ID, winners[effect.ID], effect.Instance)
		}
		winners[effect.ID] = effect.Instance
	}
	now := log[len(log)-1].at
	lateReader := New(testWindow)
	for offset, e := range log {
		if now.Sub(e.at) > retention {
			continue
		}
		effect := lateReader.Apply(int64(offset), e.at, e.record)
		if effect.Won && now.Sub(e.at) <= maxAppendDelay && winners[effect.ID] != effect.Instance {
			return fmt.Errorf("id %s: instance %q wins for the full reader, %s for the late reader", effect.ID, winners[effect.ID], effect.Instance)
		}
	}
	return nil
}

// Guards against a request that runs twice because two starts of its id win:
// whatever is appended, in whatever order, late or twice, at most one start wins,
// for every reader, also for one that begins at the first retained record.
func TestOneWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkSingleWinner(logGenerator.Draw(t, "log"), Retention(testWindow), false); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a checkSingleWinner that would miss a fault: it must fail for a
// stream whose retention is too short and for a reader that drops ids too early.
func TestChecksFindBrokenMechanisms(t *testing.T) {
	cases := []struct {
		name      string
		retention time.Duration
		dropsIDs  bool
	}{
		{"log retains records for the window only", testWindow, false},
		{"ids are dropped early", Retention(testWindow), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := 1; seed <= 2000; seed++ {
				log := logGenerator.Example(seed)
				if err := checkSingleWinner(log, c.retention, c.dropsIDs); err != nil {
					t.Logf("seed %d: %v", seed, err)
					is.NoErr(checkSingleWinner(log, Retention(testWindow), false)) // the same stream passes without the fault
					return
				}
			}
			t.Fatal("checkSingleWinner finds no fault in the streams of seeds 1 to 2000")
		})
	}
}

// Guards against memory that grows with the length of the stream because ids are
// never removed.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	l := New(time.Minute)
	for i := range 3600 {
		at := epoch.Add(time.Duration(i) * time.Second)
		is.True(l.Apply(int64(i), at, startRecord(newID(at, 0), "i")).Won)
	}
	is.Equal(l.Len(), 121) // one id a second over window and maxAppendDelay, both ends included
}

// Guards against a request that runs although its id may have run before, or
// although nothing shows that it has not: Check must allow only ids of the window,
// once the stream was read, and only without a start.
func TestCheck(t *testing.T) {
	is := is.New(t)
	l := New(time.Hour)
	verdict := func(id string) Verdict {
		v, _ := l.Check(id, epoch)
		return v
	}
	is.Equal(verdict("x"), Malformed)
	is.Equal(verdict(newID(epoch, 1)), NotReady)
	l.ReadEnd()
	is.Equal(verdict(newID(epoch, 1)), Fresh)
	is.Equal(verdict(newID(epoch.Add(-time.Hour-time.Millisecond), 1)), TooOld)
	is.Equal(verdict(newID(epoch.Add(MaxIDLead+time.Millisecond), 1)), TooNew)
	is.True(l.Apply(0, epoch, startRecord(newID(epoch, 1), "a")).Won)
	is.True(!l.Apply(1, epoch, startRecord(newID(epoch, 1), "a")).Won) // a copy, appended again because the answer to the append was lost
	is.Equal(verdict(newID(epoch, 1)), Started)
}

// Guards against an outcome that counts although its instance had no right to
// send, since its start came second.
func TestOutcome(t *testing.T) {
	is := is.New(t)
	l := New(time.Hour)
	id := newID(epoch, 1)
	outcome := func(instance string) records.Record {
		return records.Record{RequestOutcome: &records.RequestOutcome{ID: id, Instance: instance, Status: structs.StatusCompleted}}
	}
	l.Apply(0, epoch, startRecord(id, "a"))
	l.Apply(1, epoch, startRecord(id, "b"))
	is.Equal(l.Apply(2, epoch, outcome("b")).Status, structs.Status(""))
	is.Equal(l.Apply(3, epoch, outcome("a")).Status, structs.StatusCompleted)
	e, ok := l.Known(id)
	is.True(ok)
	is.Equal(e, Entry{Instance: "a", Offset: 0, Status: structs.StatusCompleted})
}
