package jobspec

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/callerapi"
)

// jobYAML is a valid job file.
const jobYAML = `id: 01ARZ3NDEKTSV4RRFFQ69G5FAV
team: laboratory
class: residue-review
groups:
  - name: main
    count: 10
    cpu: 1.5
    memory: 4GiB
    run_time: 36h
    payload: "line: 1\n"
  - name: stream
    cpu: 1
    memory: 512MiB
    accelerators: 1
    service: true
    payload: !!binary AAE=
`

// Guards against a field of a job file that is lost or changed when it is parsed
// and converted into the body of the submission, such as a payload in base64, a
// missing count or a duration in another notation.
func TestFileToBody(t *testing.T) {
	is := is.New(t)
	job, err := ParseFile("job.yaml", []byte(jobYAML))
	is.NoErr(err)
	is.Equal(Body(job), callerapi.JobBody{
		ID: "01ARZ3NDEKTSV4RRFFQ69G5FAV", Team: "laboratory", Class: "residue-review",
		Groups: []callerapi.GroupBody{
			{Name: "main", Count: 10, CPU: 1.5, Memory: "4GiB", RunTime: "36h0m0s", Payload: []byte("line: 1\n")},
			{Name: "stream", Count: 1, CPU: 1, Memory: "512MiB", Accelerators: 1, Service: true, Payload: []byte{0, 1}},
		},
	})
}

// Guards against a faulty job file that is accepted, and against an error that
// names the wrong line. Each case replaces one text in the valid file.
func TestProblemsNameTheirLine(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ old, new, want string }{
		{"01ARZ3", "x", "job.yaml:1: id must be a ULID"},
		{"team: laboratory\n", "", "job.yaml:1: a team has no name"},
		{"count: 10", "count: 0", "job.yaml:6: group \"main\": count must be"},
		{"cpu: 1.5", "cpu: 1.5555", "job.yaml:7: group \"main\": cpu must be"},
		{"4GiB", "4GB", "job.yaml:8: group \"main\": memory must be"},
		{"36h", "90", "job.yaml:9: group \"main\": run_time must be"},
		{"    service: true", "    gangs: true", "job.yaml:15: unknown key \"gangs\""},
		{"AAE=", "AAE", "job.yaml:16: group \"stream\": payload is not valid base64"},
		{"service: true", "run_time: 1s\n    service: true", "a service runs until it is stopped"},
		{"name: stream", "name: main", "job.yaml:11: group \"main\" is already defined in line 5"},
	} {
		_, err := ParseFile("job.yaml", []byte(strings.Replace(jobYAML, c.old, c.new, 1)))
		is.True(err != nil) // a faulty file must be refused
		if !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %q does not contain %q", err, c.want)
		}
	}
}
