package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"gopkg.in/yaml.v3"
)

// print writes value to standard output in the format that -o selects. For the
// table format it calls table. The commands call it for their results.
func (s *settings) print(value any, table func(w io.Writer)) error {
	switch s.output {
	case outputJSON:
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case outputYAML:
		return writeYAML(os.Stdout, value)
	default:
		w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		table(w)
		return w.Flush()
	}
}

// writeYAML writes the JSON form of a value as YAML, so that both formats have
// the same keys. print calls it.
func writeYAML(w io.Writer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return err
	}
	setBlockStyle(&node)
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(&node); err != nil {
		return err
	}
	_, err = w.Write(out.Bytes())
	return err
}

// setBlockStyle removes the flow and quoting styles of a node that was parsed from
// JSON; the encoder quotes again where needed. Texts of several lines become
// literal blocks. writeYAML calls it.
func setBlockStyle(node *yaml.Node) {
	node.Style = 0
	if node.Kind == yaml.ScalarNode && strings.Contains(node.Value, "\n") {
		node.Style = yaml.LiteralStyle
	}
	for _, child := range node.Content {
		setBlockStyle(child)
	}
}

// writeRow writes one line of a table, with tabs between the cells for the
// tabwriter. The commands call it for headings and rows.
func writeRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, oneLine(fmt.Sprint(cell)))
	}
	fmt.Fprintln(w)
}

// oneLine replaces line breaks and tabs by spaces, which would break a table.
func oneLine(s string) string {
	return strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(s)
}

// formatDuration formats a duration for a table, rounded according to its size, or
// "-" for zero. From 0.1 s on, at least three significant digits remain.
func formatDuration(d time.Duration) string {
	switch {
	case d == 0:
		return "-"
	case d < time.Millisecond:
		return d.Round(time.Microsecond).String()
	case d < time.Second:
		return d.Round(time.Millisecond).String()
	case d < time.Minute:
		return d.Round(10 * time.Millisecond).String()
	default:
		return d.Round(time.Second).String()
	}
}

// formatTime formats a time in UTC, or "-" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02 15:04:05Z")
}

// formatVersion formats a configuration version, or "none" for a negative one.
func formatVersion(v int64) string {
	if v < 0 {
		return "none"
	}
	return fmt.Sprint(v)
}

// yesNo formats a Boolean for a table.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
