package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/platform"
)

// runEnvVar makes the test binary run the daemon.
const runEnvVar = "GYPSUMWINCHD_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runEnvVar) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// TestSIGHUPDuringStart guards a process whose settings change while it starts: the signal
// ended it as long as nothing waited for it.
func TestSIGHUPDuringStart(t *testing.T) {
	is := is.New(t)
	// The process waits in its first read of the settings until the test has written them.
	settings := filepath.Join(t.TempDir(), "boot.json")
	is.NoErr(syscall.Mkfifo(settings, 0o600))
	cmd := exec.Command(os.Args[0], "-platform")
	cmd.Env = append(os.Environ(), runEnvVar+"=1", platform.SettingsEnvVar+"="+settings)
	is.NoErr(cmd.Start())
	f, err := os.OpenFile(settings, os.O_WRONLY, 0)
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	_, err = f.WriteString("invalid")
	is.NoErr(err)
	is.NoErr(f.Close())
	var exit *exec.ExitError
	is.True(errors.As(cmd.Wait(), &exit))
	is.Equal(exit.String(), "exit status 2") // the settings were read
}
