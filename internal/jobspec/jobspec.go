// Package jobspec reads the YAML files that describe jobs, for the command-line
// tool: ParseFile checks a file and reports all its faults with their lines, and
// Body converts the job into the body of POST /v1/jobs.
//
// It does not know the configuration: whether a team and a class exist, and whether
// the limits of an entry VM are met, is checked by package callerapi when the job
// is submitted.
//
// Read ParseFile first.
package jobspec

import (
	"encoding/base64"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"
	"gopkg.in/yaml.v3"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/yamldoc"
)

// Limits on one job. The settings of an entry VM may contain lower ones.
const (
	// MaxGroups bounds the number of task groups of a job.
	MaxGroups = 64
	// MaxTasks bounds the number of tasks of a job, over all groups.
	MaxTasks = 1_000_000
	// MaxPayloadBytes bounds the payload of one group, after base64 is decoded.
	MaxPayloadBytes = 1 << 20
	// maxMilliCPU bounds the CPU of one task, in thousandths of a core.
	maxMilliCPU = 4096 * 1000
)

// ParseFile parses the YAML form of a job. A payload is text or, with the tag
// !!binary, base64. The id may be missing and is empty then; the caller has to set
// it. file names the document in errors; the file is not opened. An error is of
// type fileproblem.Problems and lists all faults.
func ParseFile(file string, data []byte) (*structs.Job, error) {
	r := &reader{yamldoc.NewReader(file)}
	job := &structs.Job{}
	if root := r.Document(data); root != nil {
		r.readJob(root, job)
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return job, nil
}

// reader adds the rules for jobs to the rules for YAML documents. Its methods are
// used by ParseFile.
type reader struct {
	*yamldoc.Reader
}

// readJob reads the root node of the document into job. It reads no groups if their
// number is out of range.
func (r *reader) readJob(root *yaml.Node, job *structs.Job) {
	fields := r.Mapping(root, "a job", "id", "team", "class", "groups")
	if root.Kind != yaml.MappingNode {
		return
	}
	job.ID = r.readID(fields["id"])
	job.Team = r.Name(root, fields["team"], "team", map[string]int{})
	job.Class = r.Name(root, fields["class"], "class", map[string]int{})
	if fields["groups"] == nil {
		r.Add(root, "groups is missing: a job has at least one group")
		return
	}
	names := map[string]int{}
	items := r.List(fields["groups"], "groups")
	if len(items) > MaxGroups || len(items) == 0 && fields["groups"].Kind == yaml.SequenceNode {
		r.Add(fields["groups"], fmt.Sprintf("groups must have 1 to %d items, has %d", MaxGroups, len(items)))
		return
	}
	for _, item := range items {
		job.Groups = append(job.Groups, r.readGroup(item, names))
	}
	if tasks := job.TaskCount(); tasks > MaxTasks {
		r.Add(fields["groups"], fmt.Sprintf("a job has at most %d tasks, this one has %d", MaxTasks, tasks))
	}
}

// readID reads the id of the job, which must be a ULID if it is given.
func (r *reader) readID(node *yaml.Node) string {
	if node == nil {
		return ""
	}
	if _, err := ulid.ParseStrict(node.Value); err != nil || node.Kind != yaml.ScalarNode {
		r.Add(node, fmt.Sprintf("id must be a ULID, is %q", node.Value))
	}
	return node.Value
}

// readGroup reads one item of the list of groups. The count is 1 if it is missing.
// names holds the lines of the group names that were read before.
func (r *reader) readGroup(item *yaml.Node, names map[string]int) structs.TaskGroup {
	fields := r.Mapping(item, "a group", "name", "count", "cpu", "memory",
		"accelerators", "gang", "service", "run_time", "payload")
	if item.Kind != yaml.MappingNode {
		return structs.TaskGroup{}
	}
	group := structs.TaskGroup{Name: r.Name(item, fields["name"], "group", names), Count: 1}
	what := fmt.Sprintf("group %q", group.Name)
	if fields["count"] != nil {
		group.Count = int(r.Count(fields["count"], what+": count", 1, MaxTasks))
	}
	group.Resources = r.readResources(item, fields, what)
	group.Gang = r.Bool(fields["gang"], what+": gang")
	group.Service = r.Bool(fields["service"], what+": service")
	if group.Service && fields["run_time"] != nil {
		r.Add(fields["run_time"], what+": a service runs until it is stopped, so it has no run_time")
	} else if fields["run_time"] != nil {
		group.RunTime = r.readRunTime(fields["run_time"], what)
	}
	group.Payload = r.readPayload(fields["payload"], what)
	return group
}

// readResources reads the resources of one task of a group from the fields of item.
// what names the group in problems. CPU and memory must be given; accelerators are
// 0 if missing.
func (r *reader) readResources(item *yaml.Node, fields map[string]*yaml.Node, what string) structs.Resources {
	for _, key := range []string{"cpu", "memory"} {
		if fields[key] == nil {
			r.Add(item, fmt.Sprintf("%s: %s is missing", what, key))
		}
	}
	// The upper bounds are far above the size of any machine. They keep sums from
	// overflowing.
	const maxAccelerators = 1_000_000
	size := structs.Resources{
		MilliCPU:     r.Cores(fields["cpu"], what+": cpu"),
		MemoryMB:     r.Memory(fields["memory"], what+": memory"),
		Accelerators: r.Count(fields["accelerators"], what+": accelerators", 0, maxAccelerators),
	}
	if node := fields["cpu"]; node != nil && (size.MilliCPU < 1 || size.MilliCPU > maxMilliCPU) {
		r.Add(node, fmt.Sprintf("%s: cpu must be above 0 and at most %d cores, is %s", what, maxMilliCPU/1000, node.Value))
	}
	if node := fields["memory"]; node != nil && size.MemoryMB < 1 {
		r.Add(node, fmt.Sprintf("%s: memory must be above 0, is %s", what, node.Value))
	}
	return size
}

// readRunTime reads the declared run time of one task of a group that is not a
// service. The time must be above 0.
func (r *reader) readRunTime(node *yaml.Node, what string) time.Duration {
	d, ok := r.Duration(node, what+": run_time")
	if ok && d <= 0 {
		r.Add(node, fmt.Sprintf("%s: run_time must be above 0, is %s", what, node.Value))
	}
	return d
}

// readPayload reads the payload of a group and decodes it if it is base64. It
// returns nil if the payload is missing.
func (r *reader) readPayload(node *yaml.Node, what string) []byte {
	if node == nil {
		return nil
	}
	if node.Kind != yaml.ScalarNode {
		r.Add(node, what+": payload must be text")
		return nil
	}
	payload := []byte(node.Value)
	if node.Tag == "!!binary" {
		var err error
		if payload, err = base64.StdEncoding.DecodeString(node.Value); err != nil {
			r.Add(node, what+": payload is not valid base64")
		}
	}
	if len(payload) > MaxPayloadBytes {
		r.Add(node, fmt.Sprintf("%s: payload must have at most %d bytes, has %d", what, MaxPayloadBytes, len(payload)))
	}
	return payload
}

// Body returns the body of the POST /v1/jobs request that submits job.
func Body(job *structs.Job) callerapi.JobBody {
	body := callerapi.JobBody{ID: job.ID, Team: job.Team, Class: job.Class}
	for _, g := range job.Groups {
		group := callerapi.GroupBody{
			Name:         g.Name,
			Count:        g.Count,
			CPU:          float64(g.Resources.MilliCPU) / 1000,
			Memory:       yamldoc.FormatMemory(g.Resources.MemoryMB),
			Accelerators: g.Resources.Accelerators,
			Gang:         g.Gang,
			Service:      g.Service,
			Payload:      g.Payload,
		}
		if g.RunTime > 0 {
			group.RunTime = g.RunTime.String()
		}
		body.Groups = append(body.Groups, group)
	}
	return body
}
