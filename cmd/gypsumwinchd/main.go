// Command gypsumwinchd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"gypsumwinch/internal/daemon"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	settingsFile := flag.String("settings", "", "settings file (YAML)")
	check := flag.Bool("check", false, "check the settings file and exit")
	dev := flag.Bool("dev", false, "run with stand-ins for the platform, workers and backend servers in this process")
	devConfig := flag.String("dev-config", "testdata/cluster.yaml", "with -dev: configuration to publish at the start")
	devListen := flag.String("dev-listen", "127.0.0.1:7000", "with -dev: address for callers and operators")
	onPlatform := flag.Bool("platform", false, "run on the users' platform with the settings that it provides")
	flag.Parse()

	// Later signals have no effect: a drain is not cut short.
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if *onPlatform {
		return runOnPlatform(stop)
	}
	if *dev {
		return runDev(stop, *devListen, *devConfig)
	}
	settings, err := daemon.LoadSettings(*settingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(stop, settings)
}

// serve runs a daemon until stop ends and it is drained.
func serve(stop context.Context, settings daemon.Settings) int {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "gypsumwinchd",
		Level:      hclog.LevelFromString(settings.Log.Level),
		JSONFormat: settings.Log.JSON,
		Output:     os.Stderr,
	})
	if err := daemon.New(settings, logger, daemon.Dependencies{}).Run(stop); err != nil {
		logger.Error("stopped", "error", err)
		return exitFailed
	}
	return exitOK
}
