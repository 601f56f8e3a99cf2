package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/configstate"
	"gypsumwinch/internal/daemon"
	"gypsumwinch/internal/operatorapi"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin"
)

// publishCluster is a cluster of stand-ins with entry VMs that run in this
// process.
type publishCluster struct {
	t    *testing.T
	cell *standin.Cell
	vms  []*publishVM
}

type publishVM struct {
	settings daemon.Settings
	client   *operatorapi.Client
	stop     context.CancelFunc
	done     chan error
}

func startPublishCluster(t *testing.T, vms int) *publishCluster {
	t.Helper()
	cell, err := standin.StartCell(t.Context(), standin.CellOptions{
		DataCentres: []string{"krk-a", "kat-a"}, ServersPerDC: 1, WorkersPerDC: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &publishCluster{t: t, cell: cell}
	for i := range vms {
		settings := daemon.DefaultSettings()
		settings.VM = fmt.Sprintf("e%d", i)
		settings.DataCentre = []string{"krk-a", "kat-a"}[i%2]
		settings.Listen, settings.PeerListen = freeAddr(t), freeAddr(t)
		settings.Platform.Log, settings.Platform.VMList = cell.LogAddr, cell.VMListAddr
		settings.BalancerDelay = 0
		cell.VMList.Put(structs.VM{
			ID: settings.VM, DataCentre: settings.DataCentre, Addr: settings.PeerListen,
			Kind: structs.VMEntry, State: structs.VMLive,
		})
		p.vms = append(p.vms, &publishVM{settings: settings})
		p.start(i)
	}
	t.Cleanup(func() {
		for i := range p.vms {
			p.kill(i)
		}
	})
	return p
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (p *publishCluster) start(i int) {
	vm := p.vms[i]
	ctx, stop := context.WithCancel(context.Background())
	vm.stop, vm.done = stop, make(chan error, 1)
	vm.client = operatorapi.NewClient([]string{vm.settings.Listen}, time.Minute)
	go func() {
		vm.done <- daemon.New(vm.settings, hclog.NewNullLogger(), daemon.Dependencies{}).Run(ctx)
	}()
	p.until("VM answers", func() bool {
		_, err := vm.client.Status(p.t.Context())
		return err == nil
	})
}

func (p *publishCluster) kill(i int) {
	p.vms[i].stop()
	if err := <-p.vms[i].done; err != nil {
		p.t.Errorf("VM %d: %v", i, err)
	}
}

func (p *publishCluster) setLogFaults(format string, args ...any) {
	p.t.Helper()
	if err := p.cell.SetFaults(standin.NodeLog, json.RawMessage(fmt.Sprintf(format, args...))); err != nil {
		p.t.Fatal(err)
	}
}

// until waits for a condition. Its time limit only ends a test that hangs.
func (p *publishCluster) until(what string, met func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(2 * time.Minute); !met(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("not reached: %s", what)
		}
	}
}

// publishConcurrently publishes on some VMs at once with the same base and
// returns the responses by id.
func (p *publishCluster) publishConcurrently(base int64, round int, vms ...int) map[string]operatorapi.PublishResponse {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]operatorapi.PublishResponse{}
	for i := range 2 * len(vms) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			resp := p.publishUntilLogged(vms[i%len(vms)], base, 10*round+i+2)
			mu.Lock()
			defer mu.Unlock()
			out[resp.ID] = resp
		}()
	}
	wg.Wait()
	return out
}

// publishUntilLogged publishes until the VM reaches the log. A VM that gets no processor time
// for seconds takes the log for unreachable and refuses a publication, of which nothing may
// then be on the log.
func (p *publishCluster) publishUntilLogged(vm int, base int64, finishSeconds int) operatorapi.PublishResponse {
	for {
		resp := p.publish(vm, base, finishSeconds)
		if resp.Status != operatorapi.PublishRefused || !strings.Contains(resp.Reason, "the log is unreachable") {
			return resp
		}
		for _, e := range p.cell.Log.Entries(records.StreamConfig) {
			if r, err := records.Decode(e.Data); err == nil && r.ConfigPublish != nil && r.ConfigPublish.ID == resp.ID {
				p.t.Errorf("publication %s is on the log and was refused as not published", resp.ID)
			}
		}
	}
}

func (p *publishCluster) publish(vm int, base int64, finishSeconds int) operatorapi.PublishResponse {
	req := operatorapi.PublishRequest{
		ID: ulid.Make().String(), Base: base, Who: "w", Why: "y",
		YAML: fmt.Sprintf("classes: [{name: a, start_target: 1s, finish_target: %ds}]", finishSeconds),
	}
	resp, err := p.vms[vm].client.PublishConfig(p.t.Context(), req)
	if err != nil {
		p.t.Errorf("publish: %v", err)
	}
	resp.ID = req.ID
	return resp
}

// awaitAgreement waits until all VMs have the same version above base in force,
// and returns that configuration.
func (p *publishCluster) awaitAgreement(base int64) operatorapi.Config {
	p.t.Helper()
	var config operatorapi.Config
	p.until("all VMs have the same new version", func() bool {
		for i, vm := range p.vms {
			c, err := vm.client.Config(p.t.Context())
			if err != nil || c.Version <= base || !c.LogVersionKnown || i > 0 && c.Version != config.Version {
				return false
			}
			config = c
		}
		return true
	})
	return config
}

// Guards against two concurrent publications that both come into force, a
// response that contradicts the log, VMs that disagree, and a publication that
// counts twice because its append was repeated. The rounds lose the responses
// to appends, restart a VM, and start a VM that finds only one refused
// publication on the log.
func TestRacingPublishersAgree(t *testing.T) {
	is := is.New(t)
	p := startPublishCluster(t, 3)
	base := int64(-1)
	rounds := []struct {
		name       string
		before     func()
		publishers []int
		after      func()
	}{
		{"no fault", func() {}, []int{0, 1, 2}, func() {}},
		{"answers lost", func() { p.setLogFaults(`{"lose_answers":-1}`) }, []int{0, 1, 2}, p.awaitCopies},
		{"VM restarted", func() { p.restart(1, base) }, []int{0, 1, 2}, func() {}},
		// VM 2 cannot decide publications until the next one is accepted.
		{"old records dropped", func() { p.dropRecords(); p.restart(2, base) }, []int{0, 1}, func() {}},
	}
	for round, r := range rounds {
		t.Log("round", r.name)
		r.before()
		outcomes := p.publishConcurrently(base, round, r.publishers...)
		r.after()
		config := p.awaitAgreement(base)
		accepted := 0
		for _, resp := range outcomes {
			if resp.Status == operatorapi.PublishUnknown {
				resp = p.lookUp(resp) // the publication timed out on a slow machine
			}
			switch resp.Status {
			case operatorapi.PublishAccepted:
				accepted++
				is.Equal(resp.Version, config.Version) // the accepted one is in force
			case operatorapi.PublishRefused:
				is.True(resp.Version > base) // a refusal names the version in force
			}
			p.checkSameStatus(resp)
		}
		is.Equal(accepted, 1)
		is.True(config.Version > base)
		base = config.Version
	}
}

// awaitCopies waits until the VMs have repeated every publication of the round
// whose append response they lost, and until all VMs have read the copies.
func (p *publishCluster) awaitCopies() {
	p.t.Helper()
	p.until("copies of all publications", func() bool {
		copies := map[string]int{}
		for _, e := range p.cell.Log.Entries(records.StreamConfig) {
			if r, err := records.Decode(e.Data); err == nil && r.ConfigPublish != nil {
				copies[r.ConfigPublish.ID]++
			}
		}
		repeated := 0
		for _, n := range copies {
			if n > 1 {
				repeated++
			}
		}
		return repeated == 2*len(p.vms)
	})
	p.setLogFaults(`{}`)
	end := int64(len(p.cell.Log.Entries(records.StreamConfig)))
	p.until("all VMs have read the copies", func() bool {
		for _, vm := range p.vms {
			history, err := vm.client.ConfigHistory(p.t.Context(), operatorapi.HistoryQuery{Limit: 1})
			if err != nil || history.ReadThrough < end-1 {
				return false
			}
		}
		return true
	})
}

// restart replaces the process of a VM and waits until it has a configuration.
func (p *publishCluster) restart(i int, version int64) {
	p.t.Helper()
	p.kill(i)
	p.start(i)
	p.until("the VM has a configuration", func() bool {
		c, err := p.vms[i].client.Config(p.t.Context())
		return err == nil && c.Version >= version
	})
}

// dropRecords makes the log drop all publications except a refused one.
func (p *publishCluster) dropRecords() {
	p.t.Helper()
	p.setLogFaults(`{"retain_count":1}`)
	for range 2 {
		resp := p.publish(0, -1, 2)
		if resp.Status != operatorapi.PublishRefused {
			p.t.Errorf("publication without a base: %q", resp.Status)
		}
		// The next publication would drop this one before such a VM has read
		// it.
		p.until("all VMs have read the publication", func() bool { return p.readerCount(resp.ID) == len(p.vms) })
	}
	p.setLogFaults(`{}`)
}

// lookUp waits until VM 0 knows the outcome of a publication.
func (p *publishCluster) lookUp(resp operatorapi.PublishResponse) operatorapi.PublishResponse {
	p.t.Helper()
	p.until("the outcome of a publication", func() bool {
		history, err := p.vms[0].client.ConfigHistory(p.t.Context(), operatorapi.HistoryQuery{ID: resp.ID})
		if err != nil || len(history.Changes) == 0 || history.Changes[0].Status == string(configstate.Undecided) {
			return false
		}
		resp.Status = operatorapi.PublishStatus(history.Changes[0].Status)
		resp.Version = history.Changes[0].Version
		return true
	})
	return resp
}

// readerCount returns the number of VMs that have read a publication.
func (p *publishCluster) readerCount(id string) int {
	n := 0
	for _, vm := range p.vms {
		history, err := vm.client.ConfigHistory(p.t.Context(), operatorapi.HistoryQuery{ID: id})
		if err == nil && len(history.Changes) > 0 {
			n++
		}
	}
	return n
}

// checkSameStatus checks that no VM reports another outcome than the publisher
// received.
func (p *publishCluster) checkSameStatus(resp operatorapi.PublishResponse) {
	p.t.Helper()
	for i, vm := range p.vms {
		history, err := vm.client.ConfigHistory(p.t.Context(), operatorapi.HistoryQuery{ID: resp.ID})
		if err != nil {
			p.t.Error(err)
			continue
		}
		for _, change := range history.Changes {
			if change.Status != string(resp.Status) && change.Status != string(configstate.Undecided) {
				p.t.Errorf("the publisher of %s received %s, VM %d reports %s", resp.ID, resp.Status, i, change.Status)
			}
		}
	}
}
