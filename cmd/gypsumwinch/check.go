package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"gypsumwinch/internal/fileproblem"
	"gypsumwinch/platform/filecheck"
)

// checkCommand implements "gypsumwinch check".
type checkCommand struct {
	settings *settings
	// kind is the value of -kind, or empty if the kind is recognised by the content.
	kind string
	// against is the file of the configuration with which one file is compared, or empty.
	against string
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check files of the users' platform" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "gypsumwinch check [-kind settings|deploy|config] FILE...\n" +
		"gypsumwinch check FILE -against OLD\n" +
		"Checks settings files of processes, deploy files and configurations of the users'\n" +
		"platform as the daemon and the platform do, and reports all faults with their lines.\n" +
		filecheck.DetectionHelp +
		"-kind overrides this for all files. FILE is - for standard input. Needs no\n" +
		"connection. Exit code 3 means that a file is faulty.\n" +
		"With -against, FILE is a configuration and OLD the one in force: the differences are\n" +
		"printed, with keys counted and not shown. They do not change the exit code, but a\n" +
		"Version that is not above that of OLD does.\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	c.settings.register(f)
	f.StringVar(&c.kind, "kind", "", "`kind` of the files: settings, deploy or config (default: by content)")
	f.StringVar(&c.against, "against", "", "`file` of the configuration in force, with which one FILE is compared")
}

// Execute checks all files and prints for each its faults, or that it is valid, and its
// notes. It makes no request. It implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	files, err := positionalArgs(f)
	if err != nil {
		return reportError(err)
	}
	if len(files) == 0 {
		return reportError(usagef("the command needs FILE..., got no arguments"))
	}
	if c.against != "" && len(files) != 1 {
		return reportError(usagef("-against compares one FILE, got %d", len(files)))
	}
	checked := make([]checkedFile, 0, len(files))
	code := exitOK
	for _, name := range files {
		file, err := c.checkFile(name)
		if err != nil {
			return reportError(err)
		}
		if !file.Valid {
			code = exitRefused
		}
		checked = append(checked, file)
	}
	if err := c.settings.print(checked, func(w io.Writer) { writeChecked(w, os.Stderr, checked) }); err != nil {
		return reportError(err)
	}
	return code
}

// checkedFile is the output of "check" for one file.
type checkedFile struct {
	File  string         `json:"file"`
	Kind  filecheck.Kind `json:"kind"`
	Valid bool           `json:"valid"`
	// Problems are the faults of the file.
	Problems fileproblem.Problems `json:"problems"`
	// Notes are about what is allowed and ignored or probably not meant.
	Notes fileproblem.Problems `json:"notes"`
	// Changes are the differences from the file of -against; empty without that.
	Changes fileproblem.Problems `json:"changes,omitempty"`
}

// checkFile reads and checks one file. The error is one of the command line: the file
// cannot be read or its kind is not known. Execute calls it.
func (c *checkCommand) checkFile(name string) (checkedFile, error) {
	data, err := readFile(name)
	if err != nil {
		return checkedFile{}, err
	}
	kind, err := c.kindOf(name, data)
	if err != nil {
		return checkedFile{}, err
	}
	// Empty lists, so that scripts read lists in any case.
	checked := checkedFile{File: name, Kind: kind, Problems: fileproblem.Problems{}, Notes: fileproblem.Problems{}}
	notes, err := filecheck.File(kind, name, data)
	if err != nil && !errors.As(err, &checked.Problems) {
		return checkedFile{}, err
	}
	checked.Notes = append(checked.Notes, notes...)
	checked.Valid = err == nil
	if c.against == "" || !checked.Valid {
		return checked, nil
	}
	return c.compare(checked, data)
}

// compare compares a valid configuration with the file of -against. checkFile calls it.
func (c *checkCommand) compare(checked checkedFile, data []byte) (checkedFile, error) {
	if checked.Kind != filecheck.KindConfig {
		return checkedFile{}, usagef("-against compares configurations, %s is of kind %s", checked.File, checked.Kind)
	}
	oldData, err := readFile(c.against)
	if err != nil {
		return checkedFile{}, err
	}
	changes, err := filecheck.Against(checked.File, data, c.against, oldData)
	if err != nil && !errors.As(err, &checked.Problems) {
		return checkedFile{}, err
	}
	checked.Changes = changes
	checked.Valid = err == nil
	return checked, nil
}

// kindOf returns the kind that -kind names, or else the kind that the content shows.
func (c *checkCommand) kindOf(name string, data []byte) (filecheck.Kind, error) {
	switch kind := filecheck.Kind(c.kind); kind {
	case filecheck.KindSettings, filecheck.KindDeploy, filecheck.KindConfig:
		return kind, nil
	case "":
	default:
		return "", usagef("-kind must be settings, deploy or config, is %q", c.kind)
	}
	kind, ok := filecheck.Detect(data)
	if !ok {
		return "", usagef("%s: the content shows no known kind of file; name it with -kind, or use \"gypsumwinch config check\" for a cluster configuration in YAML", name)
	}
	return kind, nil
}

// writeChecked writes the results as text: faults to problems, the rest to w. Execute
// calls it.
func writeChecked(w, problems io.Writer, checked []checkedFile) {
	for _, file := range checked {
		for _, note := range file.Notes {
			note.Reason = "note: " + note.Reason
			fmt.Fprintln(w, file.text(note))
		}
		for _, change := range file.Changes {
			change.Reason = "change: " + change.Reason
			fmt.Fprintln(w, file.text(change))
		}
		if file.Valid {
			fmt.Fprintf(w, "%s is valid (%s)\n", file.File, file.Kind)
			continue
		}
		for _, problem := range file.Problems {
			fmt.Fprintln(problems, file.text(problem))
		}
	}
}

// text returns a problem, a note or a change of the file with its place. Configurations may have
// thousands of entries in one line, so that they get columns.
func (file checkedFile) text(p fileproblem.Problem) string {
	if file.Kind == filecheck.KindConfig {
		return p.Text()
	}
	return p.String()
}
