// Package daemon runs an entry VM of the cluster: it serves callers, operators
// and other entry VMs, and it schedules jobs and grants slots while it owns its
// data centre.
//
// One goroutine, the control loop (type control), holds all state. Other
// goroutines do the network calls; they post events to the control loop and
// read immutable snapshots (type View). The packages dispatch, scheduler,
// slots, ownership, jobstate, configstate and requestlog make the decisions.
// This package only passes events to them and runs the actions that they
// return, so scheduling policy does not belong here.
//
// The functions of the package use these terms:
//
//   - An event is a message to the control loop. Its method apply runs on the
//     control loop's goroutine and may use all of its state.
//   - A tick is a periodic call of control.tick. A slow tick is one on which the
//     less urgent decisions are made as well, about every slowTickInterval.
//   - The view is the last published View. HTTP goroutines, metrics and the
//     drain read it; it can be older than the control state.
//   - The owner of a data centre is the one entry VM that schedules its jobs.
//     Package ownership decides which VM that is. A limited owner must not start
//     tasks that a former owner may still run. The owner of a cell, in package
//     cell/owner, is another one and is never meant here.
//   - The owner state (type ownerState) is what the control loop keeps for the
//     scheduler while this VM is the owner, such as attempts that wait for a
//     record or a response. Only its list of workers is kept on every VM.
//   - The broker grants the slots of the backend servers of one data centre. It
//     runs on the owner, from the time at which a former owner cannot grant
//     slots any more. A holder is the other side: each VM has one for each data
//     centre whose slots it needs and requests slots from that broker with it.
//   - The assigned data centre of a job is the one that schedules it. The first
//     valid assignment record of the job on stream "requests" decides it.
//   - A start record announces on the log that a non-idempotent request or an
//     attempt of a task is about to be sent. A recorded start is one whose
//     record has been read back from the log and took effect. During an outage
//     of the log, the owner may start idempotent tasks first and append their
//     records again until they are on the log.
//   - An attempt is live from its recorded start to the end record that is read
//     back.
//   - An inventory is a worker's list of the attempts that run on it, with the
//     holder of its lease and a report about finished runs.
//   - The roster is the list of the data centre's workers in the VM list, as
//     passed to the ownership machine. A worker or peer is unlisted if the last
//     VM list does not contain it; the owner removes an unlisted worker only
//     after the worker's task lease has expired. An unknown worker is one for
//     which this VM has no state, since no VM list that it read contained the
//     worker or the worker was removed.
//   - An unknown attempt is one on the log that this VM's scheduler has not
//     started or recovered. A former owner started it.
//   - A data centre is isolated, as seen from this VM, if there are others and
//     neither a heartbeat nor a response to one was received from any of them
//     for isolationTimeout.
//   - A drain is the orderly end of the process: the VM reports that it is not
//     ready, lets its requests finish, returns its slots and releases ownership.
//
// Read type Daemon first, then type control and its method tick.
package daemon

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// Settings are the settings of a daemon, read from a YAML file.
type Settings struct {
	// VM is the VM's id in the platform's VM list.
	VM string `yaml:"vm"`
	// DataCentre is the VM's data centre.
	DataCentre string `yaml:"data_centre"`
	// Listen is the IP address and port for callers, operators and metrics.
	Listen string `yaml:"listen"`
	// PeerListen is the IP address and port for other entry VMs.
	PeerListen string           `yaml:"peer_listen"`
	Platform   PlatformSettings `yaml:"platform"`
	Log        LogSettings      `yaml:"log"`
	Limits     LimitSettings    `yaml:"limits"`
	// BalancerDelay is how long a draining VM still accepts requests while it
	// reports that it is not ready. It must exceed the balancer's probe period.
	BalancerDelay Duration `yaml:"balancer_delay"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout Duration `yaml:"drain_timeout"`
}

// PlatformSettings are the addresses of the platform's services.
type PlatformSettings struct {
	Log    string `yaml:"log"`
	VMList string `yaml:"vm_list"`
	// LogRetention is how long the log retains records.
	LogRetention Duration `yaml:"log_retention"`
}

// retention returns LogRetention as a time.Duration.
func (s *Settings) retention() time.Duration {
	return time.Duration(s.Platform.LogRetention)
}

// LogSettings configure the daemon's own log output.
type LogSettings struct {
	// Level is trace, debug, info, warn or error.
	Level string `yaml:"level"`
	JSON  bool   `yaml:"json"`
}

// LimitSettings bound what callers and backend servers may send.
type LimitSettings struct {
	// MaxPayloadBytes bounds the payload of a request.
	MaxPayloadBytes int `yaml:"max_payload_bytes"`
	// MaxAnswerBytes bounds the answer of a backend server.
	MaxAnswerBytes int `yaml:"max_answer_bytes"`
	// MaxTasks bounds the tasks of a job.
	MaxTasks int `yaml:"max_tasks"`
	// MaxRequests bounds the requests that are queued or running.
	MaxRequests int `yaml:"max_requests"`
}

// Duration is a time.Duration that has a unit in YAML.
type Duration time.Duration

// UnmarshalYAML parses a duration with a unit, such as "60s". The YAML decoder
// calls it while ParseSettings runs.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration with a unit, such as 60s", node.Line, node.Value)
	}
	*d = Duration(parsed)
	return nil
}

// DefaultSettings returns the values that apply where a settings file sets
// none. ParseSettings, the command's dev mode and the cluster of package
// capacity start from them.
func DefaultSettings() Settings {
	return Settings{
		Platform: PlatformSettings{LogRetention: Duration(24 * time.Hour)},
		Log:      LogSettings{Level: "info"},
		Limits: LimitSettings{
			MaxPayloadBytes: 1 << 20,
			MaxAnswerBytes:  4 << 20,
			MaxTasks:        20_000,
			MaxRequests:     20_000,
		},
		BalancerDelay: Duration(3 * time.Second),
		DrainTimeout:  Duration(5 * time.Minute),
	}
}

// LoadSettings reads and checks a settings file. Unknown keys are an error. The
// command gypsumwinchd calls it once, before it creates the daemon.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(path, data)
}

// ParseSettings parses and checks settings. path appears only in errors.
func ParseSettings(path string, data []byte) (Settings, error) {
	settings := DefaultSettings()
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	if err := settings.Check(); err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// Bounds of the settings.
const (
	maxPayloadBytesBound = 64 << 20
	maxTasksBound        = 1_000_000
	maxRequestsBound     = 1_000_000
	// minRetention keeps the start records of non-idempotent requests on the
	// log for longer than the dedupe window.
	minRetention     = 2 * dedupeWindow
	maxBalancerDelay = time.Minute
	minDrainTimeout  = time.Second
	maxDrainTimeout  = time.Hour
)

// Check returns an error that lists every setting that is out of bounds.
// ParseSettings calls it, and the command's dev mode for the settings that it
// generates.
func (s *Settings) Check() error {
	var problems []string
	add := func(field string, value any, bound string) {
		problems = append(problems, fmt.Sprintf("%s: %v: must be %s", field, value, bound))
	}
	for _, f := range []struct{ field, value string }{{"vm", s.VM}, {"data_centre", s.DataCentre}} {
		if !namePattern.MatchString(f.value) {
			add(f.field, fmt.Sprintf("%q", f.value), "lower-case letters, digits, '.' and '-', at most 63")
		}
	}
	for _, f := range []struct{ field, value string }{
		{"listen", s.Listen}, {"peer_listen", s.PeerListen},
		{"platform.log", s.Platform.Log}, {"platform.vm_list", s.Platform.VMList},
	} {
		if !validAddress(f.value) {
			add(f.field, fmt.Sprintf("%q", f.value), "an IP address and a port, such as 127.0.0.1:7000")
		}
	}
	if !contains(logLevels, s.Log.Level) {
		add("log.level", fmt.Sprintf("%q", s.Log.Level), "one of "+strings.Join(logLevels, ", "))
	}
	for _, f := range []struct {
		field        string
		value, bound int
	}{
		{"limits.max_payload_bytes", s.Limits.MaxPayloadBytes, maxPayloadBytesBound},
		{"limits.max_answer_bytes", s.Limits.MaxAnswerBytes, maxPayloadBytesBound},
		{"limits.max_tasks", s.Limits.MaxTasks, maxTasksBound},
		{"limits.max_requests", s.Limits.MaxRequests, maxRequestsBound},
	} {
		if f.value < 1 || f.value > f.bound {
			add(f.field, f.value, fmt.Sprintf("from 1 to %d", f.bound))
		}
	}
	if d := s.retention(); d < minRetention {
		add("platform.log_retention", d, fmt.Sprintf("at least %v", minRetention))
	}
	if d := time.Duration(s.BalancerDelay); d < 0 || d > maxBalancerDelay {
		add("balancer_delay", d, fmt.Sprintf("from 0s to %v", maxBalancerDelay))
	}
	if d := time.Duration(s.DrainTimeout); d < minDrainTimeout || d > maxDrainTimeout {
		add("drain_timeout", d, fmt.Sprintf("from %v to %v", minDrainTimeout, maxDrainTimeout))
	}
	if len(problems) > 0 {
		return fmt.Errorf("bad settings:\n  %s", strings.Join(problems, "\n  "))
	}
	return nil
}

// validAddress reports whether addr consists of an IP address and a port. Check
// calls it for each address.
func validAddress(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port == "" {
		return false
	}
	return net.ParseIP(host) != nil
}

// contains reports whether list contains value. Check calls it for the log
// level.
func contains(list []string, value string) bool {
	for _, item := range list {
		if item == value {
			return true
		}
	}
	return false
}
