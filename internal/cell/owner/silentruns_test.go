package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// TestSilentWorkersWithRunsDoNotHoldUpTheOthers guards against a takeover in which the workers of a cut data centre, which have runs and do not answer, take all first calls until their leases have passed, so that the rest of the cell stands idle.
func TestSilentWorkersWithRunsDoNotHoldUpTheOthers(t *testing.T) {
	is := is.New(t)
	const silent, answering = 3 * maxFirstContacts, 500
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	var open []cell.OpenRun
	var listed WorkersListed
	for i := range silent {
		id := fmt.Sprintf("a%04d", i)
		open = append(open, cell.OpenRun{Index: i, Run: 1, Worker: id, Born: 1})
		listed.Workers = append(listed.Workers, cell.Worker{ID: id, Service: "s", Addr: "a:1", Born: 1})
	}
	for i := range answering {
		listed.Workers = append(listed.Workers, cell.Worker{ID: fmt.Sprintf("b%04d", i), Service: "s", Addr: "b:1", Born: 1})
	}
	f.apply(JobSubmitted{Job: newJob("j", newStep(silent, 500)), Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{{LastRun: 1, OpenRuns: open}}}})
	f.apply(listed)
	failAt := map[string]time.Duration{}
	answered := map[string]bool{}
	for f.now < 3*time.Second {
		f.now += 25 * time.Millisecond
		for id, at := range failAt {
			if f.now >= at {
				delete(failAt, id)
				f.apply(RenewResult{Worker: id, SentAt: at, Err: errNoAnswer})
			}
		}
		f.apply(Tick{})
		renewals := actionsOf[Renew](f)
		f.clearActions()
		for _, r := range renewals {
			if r.Renewal.Addr == "a:1" {
				failAt[r.Renewal.Worker] = f.now + 250*time.Millisecond
				continue
			}
			answered[r.Renewal.Worker] = true
			f.apply(RenewResult{Worker: r.Renewal.Worker, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
		}
	}
	is.Equal(len(answered), answering)
}
