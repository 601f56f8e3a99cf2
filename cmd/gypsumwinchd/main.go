// Command gypsumwinchd is the daemon that runs on every entry VM. It reads flags
// and settings, starts the scheduler and drains it on SIGTERM or SIGINT. It
// decides nothing about jobs: that is done by package internal/daemon or, with
// -platform, by package internal/cell/node. There are three modes, each started
// by one function: runDaemon (settings file), runDev (-dev) and runOnPlatform
// (-platform). Start reading at run.
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

// Exit codes of the process.
const (
	exitOK              = 0
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() {
	os.Exit(run())
}

// run parses the flags, runs the daemon in the mode that they select and returns
// the exit code. Only main calls it.
func run() int {
	settingsFile := flag.String("settings", "", "settings file (YAML)")
	check := flag.Bool("check", false, "check the settings file and exit")
	dev := flag.Bool("dev", false, "run with stand-ins for the platform, workers and backend servers in this process")
	devConfig := flag.String("dev-config", "testdata/cluster.yaml", "with -dev: configuration file to publish at start")
	devListen := flag.String("dev-listen", "127.0.0.1:7000", "with -dev: address for callers and operators")
	onPlatform := flag.Bool("platform", false, "run on the users' platform, with the settings file that $GYPSUMWINCH_BOOT names")
	learnRunTimes := flag.Bool("learned-run-times", true, "with -platform: learn run times and the speeds of workers from finished runs")
	flag.Parse()

	// The context ends at the first signal. Later signals have no effect, so that
	// a second one does not cut the drain short.
	stopCtx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if *onPlatform {
		return runOnPlatform(stopCtx, *learnRunTimes)
	}
	if *dev {
		return runDev(stopCtx, *devListen, *devConfig)
	}
	settings, err := daemon.LoadSettings(*settingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	return runDaemon(stopCtx, settings)
}

// runDaemon runs the daemon until stopCtx ends and the drain is complete, and
// returns the exit code. run calls it for a settings file, runDev for the
// development cell.
func runDaemon(stopCtx context.Context, settings daemon.Settings) int {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "gypsumwinchd",
		Level:      hclog.LevelFromString(settings.Log.Level),
		JSONFormat: settings.Log.JSON,
		Output:     os.Stderr,
	})
	if err := daemon.New(settings, logger, daemon.Dependencies{}).Run(stopCtx); err != nil {
		logger.Error("stopped", "error", err)
		return exitFailed
	}
	return exitOK
}
