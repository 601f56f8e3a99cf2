package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

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

// TestFaultySettingsAreRefusedAtStart guards against a daemon that starts with settings with
// which it serves nobody, and against an error that does not say what to mend where.
func TestFaultySettingsAreRefusedAtStart(t *testing.T) {
	is := is.New(t)
	settings := filepath.Join(t.TempDir(), "boot.json")
	is.NoErr(os.WriteFile(settings, []byte(`{
  "NodeName": "vm", "Zone": "z", "Ip": "127.0.0.1", "InternalPortRange": [7720, 7721],
  "BindAddresses": {"Frontend": "127.0.0.1:1", "Readiness": ""},
  "Limits": {"CpuShare": 0.8, "MemoryMb": 0}, "platform": {"Address": "127.0.0.1:2"},
  "Orders": "heartbeat"
}`), 0o600))
	cmd := exec.Command(os.Args[0], "-platform")
	cmd.Env = append(os.Environ(), runEnvVar+"=1", platform.SettingsEnvVar+"="+settings)
	output, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	is.True(errors.As(err, &exit))
	is.Equal(exit.ExitCode(), exitInvalidSettings)
	is.Equal(string(output), settings+`:3: BindAddresses.Readiness is ""; it must be host:port with a port from 1 to 65535
`+settings+`:4: Limits.MemoryMb is 0; it must be at least 1
`+settings+`:5: Orders is "heartbeat"; it must be "push", since workers that fetch their orders are not supported
`)
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

// startWithConfig starts the daemon on a store that holds a configuration and refuses all
// appends, and waits until it answers callers.
func startWithConfig(t *testing.T) *exec.Cmd {
	t.Helper()
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isConfig := r.URL.Query().Get("Topic") == "keyed.op"
		switch {
		case r.URL.Path == "/v1/log-newest" && isConfig:
			_ = json.NewEncoder(w).Encode(map[string]any{"End": 0, "items": []map[string]any{{"Key": "config", "Value": []byte(testConfig)}}})
		case r.URL.Path == "/v1/log-newest":
			w.WriteHeader(http.StatusNotFound)
		case r.URL.Path == "/v1/log-read":
			_, _ = w.Write(make([]byte, 16))
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(store.Close)
	callers := freePeerAddr(t)
	host, port, err := net.SplitHostPort(freePeerAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	peerPort, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := json.Marshal(map[string]any{
		"NodeName": "vm", "Zone": "z", "Ip": host, "InternalPortRange": []int{peerPort, peerPort + 1},
		"BindAddresses": map[string]string{"Frontend": callers, "Readiness": freePeerAddr(t)},
		"platform":      map[string]string{"Address": store.Listener.Addr().String()},
		"Limits":        map[string]any{"CpuShare": 0.8, "MemoryMb": 500, "MaxFds": 1000},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-platform")
	cmd.Env = append(os.Environ(), runEnvVar+"=1", platform.SettingsEnvVar+"="+path)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/q/", callers), nil)
		req.Host = "h"
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return cmd
			}
		}
		if time.Now().After(deadline) {
			t.Fatal("the daemon does not answer")
		}
	}
}

// TestSignalsDuringTheDrain guards a drain against the signals that overlap with it: none
// of them ends the process before its callers have been answered.
func TestSignalsDuringTheDrain(t *testing.T) {
	is := is.New(t)
	cmd := startWithConfig(t)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		is.NoErr(cmd.Process.Signal(s))
		time.Sleep(50 * time.Millisecond)
	}
	is.NoErr(cmd.Wait()) // exit status 0
}
