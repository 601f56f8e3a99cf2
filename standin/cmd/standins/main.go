// Standins runs a cell of stand-ins for the platform, the workers and the backend
// servers in one process until it is interrupted, and prints their addresses as JSON. It
// is for tests and trials and starts no daemons. Read package standin first.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"

	"gypsumwinch/standin"
)

// main runs the cell until SIGINT or SIGTERM; an error ends it with status 1.
func main() {
	logger := hclog.New(&hclog.LoggerOptions{Name: "standins", Output: os.Stderr})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, logger); err != nil {
		logger.Error("stand-ins failed", "error", err)
		os.Exit(1)
	}
}

// run starts the cell, prints its addresses and stops it when ctx ends. main calls it.
func run(ctx context.Context, logger hclog.Logger) error {
	opts, err := readOptions()
	if err != nil {
		return err
	}
	cell, err := standin.StartCell(ctx, opts)
	if err != nil {
		return err
	}
	defer cell.Close()
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	if err := out.Encode(cell.Addresses()); err != nil {
		return eris.Wrap(err, "print addresses")
	}
	logger.Info("cell is running", "control", cell.ControlAddr)
	<-ctx.Done()
	return nil
}

// readOptions parses the flags and returns the options of the YAML file, if one is named,
// overridden by the flags that are set. run calls it once.
func readOptions() (standin.CellOptions, error) {
	var opts standin.CellOptions
	file := flag.String("config", "", "YAML `file` with the cell's options")
	dataCentres := flag.String("data-centres", "", "comma-separated `names` of the data centres")
	servers := flag.Int("servers", 0, "backend servers per data centre")
	workers := flag.Int("workers", 0, "workers per data centre")
	controlAddr := flag.String("control", "", "`address` of the control endpoint")
	retainAge := flag.Duration("retain-age", 0, "how long the log keeps records")
	flag.Parse()
	if *file != "" {
		data, err := os.ReadFile(*file)
		if err != nil {
			return opts, eris.Wrap(err, "read options")
		}
		if err := yaml.Unmarshal(data, &opts); err != nil {
			return opts, fmt.Errorf("parse %s: %w", *file, err)
		}
	}
	if *dataCentres != "" {
		opts.DataCentres = strings.Split(*dataCentres, ",")
	}
	if *servers != 0 {
		opts.ServersPerDC = *servers
	}
	if *workers != 0 {
		opts.WorkersPerDC = *workers
	}
	if *controlAddr != "" {
		opts.ControlAddr = *controlAddr
	}
	if *retainAge != 0 {
		opts.RetainAge = *retainAge
	}
	return opts, nil
}
