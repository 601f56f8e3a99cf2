package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"gypsumwinch/internal/clusterconfig"
	"gypsumwinch/internal/daemon"
	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/uniqueid"
	"gypsumwinch/standin"
)

// Names and addresses of the only entry VM of the development cell.
const (
	devVM            = "dev-1"
	devDataCentre    = "dev"
	devPeerListen    = "127.0.0.1:7100"
	devControlListen = "127.0.0.1:7900"
)

// runDev runs one entry VM in this process, together with stand-ins for the
// platform, the workers and the backend servers, and returns the exit code. run
// calls it for -dev. It publishes configFile before the daemon starts.
func runDev(stopCtx context.Context, listen, configFile string) int {
	// The stand-ins run until the drain, which uses them, is complete.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell, err := standin.StartCell(ctx, standin.CellOptions{DataCentres: []string{devDataCentre}, ControlAddr: devControlListen})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	cell.VMList.Put(structs.VM{
		ID: devVM, DataCentre: devDataCentre, Addr: devPeerListen,
		Kind: structs.VMEntry, State: structs.VMLive,
	})
	if err := publishFirstConfig(ctx, cell.LogAddr, configFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	settings := daemon.DefaultSettings()
	settings.VM = devVM
	settings.DataCentre = devDataCentre
	settings.Listen = listen
	settings.PeerListen = devPeerListen
	settings.Platform.Log = cell.LogAddr
	settings.Platform.VMList = cell.VMListAddr
	if err := settings.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	fmt.Printf("callers and operators: http://%s\nstand-ins: http://%s\n", listen, cell.ControlAddr)
	return runDaemon(stopCtx, settings)
}

// publishFirstConfig checks a configuration file and appends it to the log as the
// first configuration, which has no base. runDev calls it on the empty log.
func publishFirstConfig(ctx context.Context, logAddr, configFile string) error {
	data, err := os.ReadFile(configFile)
	if err != nil {
		return err
	}
	if _, err := clusterconfig.Parse(configFile, data); err != nil {
		return err
	}
	record, err := records.Encode(records.Record{ConfigPublish: &records.ConfigPublish{
		ID: uniqueid.New(), Base: records.NoVersion, YAML: string(data),
		Who: "dev", Why: "first configuration of the development cell", When: time.Now().UTC(),
	}})
	if err != nil {
		return err
	}
	log := platform.NewHTTPLog(logAddr, platform.HTTPOptions{Name: devVM})
	_, err = log.Append(ctx, records.StreamConfig, []json.RawMessage{record})
	return err
}
