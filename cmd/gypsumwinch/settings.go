package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"gypsumwinch/internal/operatorapi"
)

// addrEnvVar names the environment variable with the default addresses, as a comma
// list.
const addrEnvVar = "GYPSUMWINCH_ADDR"

// defaultAddr is the address at which gypsumwinchd -dev listens by default.
const defaultAddr = "127.0.0.1:7000"

// defaultRequestTimeout bounds one request. It exceeds the 16 s that the daemon
// waits at most for the log before it answers that the outcome is unknown.
const defaultRequestTimeout = 20 * time.Second

// settings holds the values of the flags that the commands share.
type settings struct {
	addrs          addrList
	output         outputFormat
	requestTimeout time.Duration
}

// defaultSettings returns the settings that hold without flags; the addresses come
// from the environment if it has some. run calls it.
func defaultSettings() *settings {
	s := &settings{output: outputTable, requestTimeout: defaultRequestTimeout}
	s.addrs.list = []string{defaultAddr}
	if list := os.Getenv(addrEnvVar); list != "" {
		s.addrs.list = strings.Split(list, ",")
	}
	return s
}

// register adds the flags to a flag set. run calls it for the flags before the name
// of the command and each command for the flags after it; the latter override
// the former.
func (s *settings) register(f *flag.FlagSet) {
	s.addrs.isOverridden = false
	f.Var(&s.addrs, "addr", "`host:port` of an entry VM; repeat it or give a comma list to try others when one cannot be reached (default $"+addrEnvVar+", else "+defaultAddr+")")
	f.Var(&s.output, "o", "output `format`: table, json or yaml")
	f.DurationVar(&s.requestTimeout, "timeout", s.requestTimeout, "time limit of one request")
}

// client checks the flags and returns a client of the entry VMs. The commands that
// make requests call it once their arguments are checked.
func (s *settings) client() (*operatorapi.Client, error) {
	if len(s.addrs.list) == 0 {
		return nil, usagef("-addr names no address, want host:port or a comma list")
	}
	for _, addr := range s.addrs.list {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, usagef("address %q must have the form host:port", addr)
		}
	}
	if s.requestTimeout <= 0 {
		return nil, usagef("-timeout must be above 0, is %s", s.requestTimeout)
	}
	client := operatorapi.NewClient(s.addrs.list, s.requestTimeout)
	client.Caller = os.Getenv("USER")
	return client, nil
}

// addrList is the value of the flag -addr, which can be repeated. It implements
// flag.Value.
type addrList struct {
	list []string
	// isOverridden is set once a flag of the present flag set has replaced the
	// list; further ones add to it.
	isOverridden bool
}

// String returns the addresses as a comma list.
func (a *addrList) String() string {
	return strings.Join(a.list, ",")
}

// Set adds the addresses of a comma list. The first call after register replaces
// the list. The flag package calls it for each -addr.
func (a *addrList) Set(value string) error {
	if !a.isOverridden {
		a.list = nil
		a.isOverridden = true
	}
	for _, addr := range strings.Split(value, ",") {
		if addr = strings.TrimSpace(addr); addr != "" {
			a.list = append(a.list, addr)
		}
	}
	return nil
}

// outputFormat is the value of the flag -o. It implements flag.Value.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
	outputYAML  outputFormat = "yaml"
)

// String returns the name of the format.
func (o *outputFormat) String() string {
	return string(*o)
}

// Set sets the format by its name. The flag package calls it for each -o.
func (o *outputFormat) Set(value string) error {
	switch format := outputFormat(value); format {
	case outputTable, outputJSON, outputYAML:
		*o = format
		return nil
	}
	return errors.New("must be table, json or yaml")
}

// positionalArgs returns the arguments that are not flags. Flags may also stand
// between and after them, which the flag package alone does not parse. The commands
// class, worker and vm call it, and exactArgs for the others.
func positionalArgs(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		rest := f.Args()
		args = append(args, rest[0])
		if err := f.Parse(rest[1:]); err != nil {
			return nil, usageError{err: err, isPrinted: true}
		}
	}
	return args, nil
}

// jobClient returns the job id, which is the only argument, and a client. The
// commands "job status", "job cancel" and "job explain" call it.
func (s *settings) jobClient(f *flag.FlagSet) (id string, client *operatorapi.Client, err error) {
	args, err := exactArgs(f, "ID")
	if err != nil {
		return "", nil, err
	}
	client, err = s.client()
	return args[0], client, err
}

// exactArgs returns the arguments that are not flags. If there are not as many as
// names, it returns a usage error with the names. Commands with a fixed number of
// arguments call it.
func exactArgs(f *flag.FlagSet, names ...string) ([]string, error) {
	args, err := positionalArgs(f)
	if err != nil {
		return nil, err
	}
	if len(args) != len(names) {
		if len(names) == 0 {
			return nil, usagef("unexpected argument %q; the command takes only flags", args[0])
		}
		return nil, usagef("the command needs %s, got %d arguments", strings.Join(names, " "), len(args))
	}
	return args, nil
}

// usageError is an error in the command line.
type usageError struct {
	err error
	// isPrinted is set if the flag package has already printed the error.
	isPrinted bool
}

// Error returns the text of the error.
func (e usageError) Error() string {
	return e.err.Error()
}

// usagef formats a usage error.
func usagef(format string, args ...any) error {
	return usageError{err: fmt.Errorf(format, args...)}
}
