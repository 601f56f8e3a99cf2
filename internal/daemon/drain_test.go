package daemon_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/daemon"
	"gypsumwinch/internal/operatorapi"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin"
)

// sendRequest sends a request and returns its answer, without a status if the VM knows no
// class yet.
func sendRequest(addr string) (callerapi.Answer, error) {
	var answer callerapi.Answer
	resp, err := http.Post("http://"+addr+"/v1/requests", "application/json", strings.NewReader(`{"id":"r","class":"a"}`))
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, err
}

// TestRequestAtTheDrainTimeoutIsAnswered guards callers of requests that do not end within
// the drain timeout: the outcome of theirs is unknown, and they learn that.
func TestRequestAtTheDrainTimeoutIsAnswered(t *testing.T) {
	is := is.New(t)
	cell, err := standin.StartCell(t.Context(), standin.CellOptions{DataCentres: []string{"krk-a"}, ServersPerDC: -1, WorkersPerDC: -1})
	is.NoErr(err)
	settings := daemon.DefaultSettings()
	settings.VM, settings.DataCentre = "e0", "krk-a"
	settings.Listen, settings.PeerListen = freeAddr(t), freeAddr(t)
	settings.Platform.Log, settings.Platform.VMList = cell.LogAddr, cell.VMListAddr
	settings.BalancerDelay = 0
	settings.DrainTimeout = daemon.Duration(8 * time.Second)
	cell.VMList.Put(structs.VM{ID: "e0", DataCentre: "krk-a", Addr: settings.PeerListen, Kind: structs.VMEntry, State: structs.VMLive})
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- daemon.New(settings, hclog.NewNullLogger(), daemon.Dependencies{}).Run(stop) }()
	p := &publishCluster{t: t}
	client := operatorapi.NewClient([]string{settings.Listen}, time.Minute)
	p.until("VM answers", func() bool {
		_, err := client.Status(t.Context())
		return err == nil
	})
	p.until("VM has a configuration", func() bool {
		_, _ = client.PublishConfig(t.Context(), operatorapi.PublishRequest{
			ID: ulid.Make().String(), Base: records.NoVersion, Who: "w", Why: "y",
			YAML: "classes: [{name: a, kind: request, start_target: 10m, finish_target: 1h}]",
		})
		status, err := client.Status(t.Context())
		return err == nil && status.ConfigVersion != records.NoVersion
	})
	// No backend server is there to run the request.
	answers := make(chan callerapi.Answer, 1)
	go func() {
		defer close(answers)
		answer, err := sendRequest(settings.Listen)
		for err == nil && answer.Status == "" { // not all parts of the VM have the configuration yet
			time.Sleep(20 * time.Millisecond)
			answer, err = sendRequest(settings.Listen)
		}
		if err != nil {
			t.Errorf("no complete answer: %v", err)
		}
		answers <- answer
	}()
	p.until("the request waits", func() bool {
		classes, err := client.Classes(t.Context())
		return err == nil && len(classes.Classes) == 1 && classes.Classes[0].Waiting == 1
	})
	cancel()
	answer := <-answers
	is.Equal(answer.Status, structs.StatusUnknown)
	is.NoErr(<-done)
}
