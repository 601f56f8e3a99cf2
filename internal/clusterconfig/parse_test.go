package clusterconfig

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an invalid sample file, and against fields that Format or Parse
// loses.
func TestSampleRoundTrip(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../testdata/cluster.yaml")
	is.NoErr(err)
	config, err := Parse("cluster.yaml", data)
	is.NoErr(err)
	reparsed, err := Parse("formatted", Format(config))
	is.NoErr(err)
	is.Equal(reparsed, config)
}

// Guards against an invalid configuration that is accepted, and against an error
// that gives the wrong line or only the first problem.
func TestParseReportsAllProblems(t *testing.T) {
	const valid = "classes:\n- name: a\n  start_target: 1s\n  finish_target: 2s\n"
	cases := []struct {
		name, yaml string
		want       []string
	}{
		{"empty", "", []string{":1: the file is empty"}},
		{"syntax", "classes: [", []string{":1: not valid YAML"}},
		{"unknown key", valid + "  weight: 3\n", []string{`:5: unknown key "weight"`}},
		{"duplicate name", valid + "- name: a\n  start_target: 1s\n  finish_target: 2s\n", []string{`:5: class "a" is already defined in line 2`}},
		{"no unit", strings.Replace(valid, "1s", "1", 1), []string{":3: ", "with a unit"}},
		{"finish below start", strings.Replace(valid, "2s", "500ms", 1), []string{":4: ", "finish_target 500ms is below start_target 1s"}},
		{"not positive", strings.Replace(valid, "1s", "0s", 1), []string{":3: ", "must be above 0"}},
		{"negative", strings.Replace(valid, "1s", "-1s", 1), []string{":3: ", "must be above 0"}},
		{"service with finish", valid + "  kind: service\n", []string{":4: ", "has no finish_target"}},
		{"kind", valid + "  kind: urgent\n", []string{":5: kind must be"}},
		{"memory unit", valid + "teams:\n- name: t\n  quota: {cores: 1, memory: 5GB}\n", []string{":7: ", "MiB, GiB or TiB"}},
		{"two documents", valid + "---\nclasses: []\n", []string{"only one YAML document"}},
		{"null", valid + "teams:\n", []string{":5: teams has no value"}},
		{"alias", valid + "teams: &a\n- name: t\n  quota: *a\n", []string{":7: quota: aliases"}},
		{"all at once", "classes:\n- name: A\n  start_target: x\n", []string{":2: class name", ":2: ", "finish_target is missing", ":3: "}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("f.yaml", []byte(c.yaml))
			is.True(err != nil) // Parse must refuse the configuration
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q does not contain %q", err, want)
				}
			}
		})
	}
}

// Guards against input on which Parse panics, which would stop every VM that reads
// the publication, and against a configuration that Parse accepts but that changes
// or fails when it is formatted and parsed again.
func FuzzParse(f *testing.F) {
	sample, err := os.ReadFile("../../testdata/cluster.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sample)
	for _, text := range []string{"# nothing", "---\n", "a: &a [*a]", "classes: !!binary x", "? {a: b}\n: c", "classes: [{name: 1}]", "\x00", "{[[["} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := Parse("f", data)
		if err != nil {
			return
		}
		reparsed, err := Parse("formatted", Format(config))
		if err != nil {
			t.Fatal(err)
		}
		is.New(t).Equal(reparsed, config)
	})
}
