package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"gypsumwinch/internal/clusterconfig"
	"gypsumwinch/internal/operatorapi"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/uniqueid"
)

// lookupInterval is the pause between two lookups of a publication whose outcome
// is unknown.
const lookupInterval = 500 * time.Millisecond

// defaultLookupTimeout is how long a publication with an unknown outcome is looked
// up. It covers a delayed append to the log and the 8 s within which a change
// takes effect.
const defaultLookupTimeout = 20 * time.Second

// configPublishCommand implements "gypsumwinch config publish".
type configPublishCommand struct {
	settings      *settings
	base          string
	who, why      string
	id            string
	reset         bool
	lookupTimeout time.Duration
}

// Name implements subcommands.Command.
func (*configPublishCommand) Name() string { return "publish" }

// Synopsis implements subcommands.Command.
func (*configPublishCommand) Synopsis() string { return "publish a configuration file" }

// Usage implements subcommands.Command.
func (*configPublishCommand) Usage() string {
	return "gypsumwinch config publish [flags] FILE\n" +
		"Publishes FILE (- for standard input) if its base is still in force. The base is\n" +
		"given with -base or by the version line that config get writes. If no answer\n" +
		"arrives, the publication is looked up by its id; it is sent only once. After\n" +
		"exit code 5, run the same command with -id: it can take effect only once.\n"
}

// SetFlags implements subcommands.Command.
func (c *configPublishCommand) SetFlags(f *flag.FlagSet) {
	c.settings.register(f)
	f.StringVar(&c.base, "base", "", "`version` that the file is based on, or none for the first configuration")
	f.StringVar(&c.who, "who", os.Getenv("USER"), "who changes the configuration")
	f.StringVar(&c.why, "why", "", "why the configuration is changed (required)")
	f.StringVar(&c.id, "id", "", "`id` of an earlier call with an unknown outcome (default: a new id)")
	f.BoolVar(&c.reset, "reset", false, "replace the configuration although no VM knows from the log which version is in force")
	f.DurationVar(&c.lookupTimeout, "wait", defaultLookupTimeout, "how long to look up a publication whose answer was lost")
}

// Execute publishes a configuration file and prints the outcome. It prints the
// id of the publication before sending it, so that the operator can look it up
// if the tool is interrupted. It implements subcommands.Command.
func (c *configPublishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := exactArgs(f, "FILE")
	if err != nil {
		return reportError(err)
	}
	req, err := c.buildRequest(args[0])
	if err != nil {
		return reportError(err)
	}
	client, err := c.settings.client()
	if err != nil {
		return reportError(err)
	}
	fmt.Fprintln(os.Stderr, "publication", req.ID)
	resp, err := c.publish(ctx, client, req)
	if err != nil {
		return reportError(err)
	}
	err = c.settings.print(resp, func(w io.Writer) {
		fmt.Fprintf(w, "%s: version %s is in force\n", resp.Status, formatVersion(resp.Version))
	})
	if err == nil && resp.Status == operatorapi.PublishRefused {
		err = codedErrorf(exitRefused, "refused: %s", resp.Reason)
	}
	return reportError(err)
}

// buildRequest checks the file and the flags and returns the request to send. An
// invalid file is an error with exitRefused, an invalid flag a usage error.
// Execute calls it before it connects.
func (c *configPublishCommand) buildRequest(file string) (operatorapi.PublishRequest, error) {
	req := operatorapi.PublishRequest{ID: c.id, Who: c.who, Why: c.why, Reset: c.reset}
	data, err := readFile(file)
	if err != nil {
		return req, err
	}
	if _, err := clusterconfig.Parse(file, data); err != nil {
		return req, &codedError{code: exitRefused, err: fmt.Errorf("nothing was sent, the file is faulty:\n%w", err)}
	}
	if c.who == "" || c.why == "" {
		return req, usagef("-who and -why must both be given and not be empty")
	}
	if req.ID == "" {
		req.ID = uniqueid.New()
	}
	req.YAML = removeVersionLines(string(data))
	if !c.reset {
		if req.Base, err = parseBase(c.base, string(data)); err != nil {
			return req, err
		}
	}
	if err := req.Validate(); err != nil {
		return req, usageError{err: err}
	}
	return req, nil
}

// parseBase returns the version that a file is based on: text, the value of -base,
// or else the last version line of the file. buildRequest calls it unless -reset
// is given.
func parseBase(text, yaml string) (int64, error) {
	if text == "" {
		for _, line := range strings.Split(yaml, "\n") {
			if rest, ok := strings.CutPrefix(line, versionLinePrefix); ok {
				text = strings.TrimSpace(rest)
			}
		}
	}
	switch text {
	case "":
		return 0, usagef("no base: give -base with a version, or none for the first configuration, or start from the output of config get")
	case "none":
		return records.NoVersion, nil
	}
	base, err := strconv.ParseInt(text, 10, 64)
	if err != nil || base < 0 {
		return 0, usagef("base must be a version of 0 or above, or none, is %q", text)
	}
	return base, nil
}

// publish sends a publication once and returns its outcome. With -id, it first
// looks up the outcome of the earlier call. While the outcome is unknown, it looks
// up the id until lookupTimeout ends. It never sends the request a second time,
// but leaves that to the operator: with the same id and base it could take effect
// only once, but on a VM that no longer remembers the first copy, a refusal of the
// second would hide that the first was accepted. Execute calls it.
func (c *configPublishCommand) publish(ctx context.Context, client *operatorapi.Client, req operatorapi.PublishRequest) (operatorapi.PublishResponse, error) {
	if c.id != "" {
		if resp, ok := lookUpPublication(ctx, client, req.ID); ok {
			return resp, nil
		}
	}
	resp, err := client.PublishConfig(ctx, req)
	if err == nil && resp.Status != operatorapi.PublishUnknown {
		return resp, nil
	}
	if err = mutationError(err); err != nil && exitCode(err) != exitUnknown {
		return resp, err
	}
	deadline := time.Now().Add(c.lookupTimeout)
	for {
		if resp, ok := lookUpPublication(ctx, client, req.ID); ok {
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return resp, unknownOutcomeError(req.ID)
		case <-time.After(lookupInterval):
		}
		if time.Now().After(deadline) {
			return resp, unknownOutcomeError(req.ID)
		}
	}
}

// unknownOutcomeError returns the error for a publication whose outcome is still
// unknown when the lookups end.
func unknownOutcomeError(id string) error {
	return codedErrorf(exitUnknown, "it is unknown whether the publication takes effect; look it up with: gypsumwinch config history -id %s", id)
}

// lookUpPublication returns the outcome of a publication from the history of an
// entry VM. The second result is false if no VM answers or the VM that does is not
// aware of the outcome. publish calls it.
func lookUpPublication(ctx context.Context, client *operatorapi.Client, id string) (operatorapi.PublishResponse, bool) {
	history, err := client.ConfigHistory(ctx, operatorapi.HistoryQuery{ID: id})
	if err != nil || len(history.Changes) == 0 {
		return operatorapi.PublishResponse{}, false
	}
	ch := history.Changes[0]
	resp := operatorapi.PublishResponse{ID: id, Status: operatorapi.PublishStatus(ch.Status), Version: ch.Version, Reason: ch.Reason}
	isDecided := resp.Status == operatorapi.PublishAccepted || resp.Status == operatorapi.PublishRefused
	return resp, isDecided
}
