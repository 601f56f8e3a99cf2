// Package clusterconfig converts between the YAML that operators publish and
// structs.ClusterConfig. A configuration lists job classes with their targets and
// teams with their quotas.
//
// Parse checks a configuration and reports all problems with their lines; Format
// is its inverse. The package does not store or publish configurations and does not
// decide which one is in force; package configstate does that. Read Parse first.
package clusterconfig

import (
	"fmt"
	"time"

	"gopkg.in/yaml.v3"

	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/yamldoc"
)

// maxTarget is the greatest start or finish target. It prevents an overflow of sums
// of targets and clock readings.
const maxTarget = 366 * 24 * time.Hour

// maxAcceleratorQuota is the greatest accelerator quota of a team. It is far above
// the size of any cluster and prevents an overflow of sums of quotas.
const maxAcceleratorQuota = 1_000_000_000

// classKinds holds the kinds that a class may have.
var classKinds = []structs.ClassKind{
	structs.KindRequest,
	structs.KindBatch,
	structs.KindGang,
	structs.KindService,
}

// configReader reads the parts of a configuration and collects their problems.
type configReader struct {
	*yamldoc.Reader
}

// Parse reads and checks a configuration. file is used in error messages only. The
// error is of type fileproblem.Problems and lists all problems in the order of their
// lines.
func Parse(file string, data []byte) (*structs.ClusterConfig, error) {
	r := &configReader{yamldoc.NewReader(file)}
	config := &structs.ClusterConfig{}
	if root := r.Document(data); root != nil {
		fields := r.Mapping(root, "the configuration", "classes", "teams")
		config.Classes = r.classes(fields["classes"], root)
		config.Teams = r.teams(fields["teams"])
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

// classes reads the list of classes for Parse. At least one class is required; root
// gives the line of the problem if the list is missing.
func (r *configReader) classes(node, root *yaml.Node) []structs.Class {
	if node == nil {
		r.Add(root, "classes is missing: at least one class is needed")
		return nil
	}
	items := r.List(node, "classes")
	if len(items) == 0 && node.Kind == yaml.SequenceNode {
		r.Add(node, "classes is empty: at least one class is needed")
	}
	lineByName := map[string]int{}
	classes := make([]structs.Class, 0, len(items))
	for _, item := range items {
		classes = append(classes, r.class(item, lineByName))
	}
	return classes
}

// class reads one class. lineByName holds the line of each class name read so far
// and is used to report duplicates.
func (r *configReader) class(item *yaml.Node, lineByName map[string]int) structs.Class {
	fields := r.Mapping(item, "a class",
		"name", "kind", "start_target", "finish_target", "non_idempotent")
	class := structs.Class{
		Name: r.Name(item, fields["name"], "class", lineByName),
		Kind: r.kind(fields["kind"]),
	}
	if item.Kind != yaml.MappingNode {
		return class
	}
	label := fmt.Sprintf("class %q", class.Name)
	class.NonIdempotent = r.Bool(fields["non_idempotent"], label+": non_idempotent")
	if class.NonIdempotent && class.Kind == structs.KindService {
		r.Add(fields["non_idempotent"], label+": a service is restarted when its worker fails, so it cannot be non_idempotent")
	}
	if fields["start_target"] == nil {
		r.Add(item, label+": start_target is missing")
	}
	class.StartTarget = r.target(fields["start_target"], label+": start_target")
	class.FinishTarget = r.finishTarget(item, fields["finish_target"], label, class)
	return class
}

// finishTarget reads the finish target of a class. A service has none; every other
// class needs one that is not below its start target. item is the node of the class,
// label begins the problem texts.
func (r *configReader) finishTarget(item, node *yaml.Node, label string, class structs.Class) time.Duration {
	if class.Kind == structs.KindService {
		if node != nil {
			r.Add(node, label+": a service runs until it is stopped, so it has no finish_target")
		}
		return 0
	}
	if node == nil {
		r.Add(item, label+": finish_target is missing")
		return 0
	}
	target := r.target(node, label+": finish_target")
	if target > 0 && class.StartTarget > 0 && target < class.StartTarget {
		r.Add(node, fmt.Sprintf("%s: finish_target %v is below start_target %v", label, target, class.StartTarget))
	}
	return target
}

// target reads a duration above 0 and up to maxTarget. It returns 0 if the node is
// missing or not valid; the caller reports a missing node.
func (r *configReader) target(node *yaml.Node, label string) time.Duration {
	if node == nil {
		return 0
	}
	d, ok := r.Duration(node, label)
	if !ok {
		return 0
	}
	if d <= 0 {
		r.Add(node, fmt.Sprintf("%s must be above 0, is %s", label, node.Value))
		return 0
	}
	if d > maxTarget {
		r.Add(node, fmt.Sprintf("%s must be at most %s, is %s", label, yamldoc.FormatDuration(maxTarget), node.Value))
		return 0
	}
	return d
}

// kind reads the kind of a class. The default is request.
func (r *configReader) kind(node *yaml.Node) structs.ClassKind {
	if node == nil {
		return structs.KindRequest
	}
	for _, kind := range classKinds {
		if node.Kind == yaml.ScalarNode && node.Value == string(kind) {
			return kind
		}
	}
	r.Add(node, fmt.Sprintf("kind must be request, batch, gang or service, is %q", node.Value))
	return structs.KindRequest
}

// teams reads the optional list of teams for Parse.
func (r *configReader) teams(node *yaml.Node) []structs.Team {
	if node == nil {
		return nil
	}
	lineByName := map[string]int{}
	var teams []structs.Team
	for _, item := range r.List(node, "teams") {
		fields := r.Mapping(item, "a team", "name", "quota")
		team := structs.Team{Name: r.Name(item, fields["name"], "team", lineByName)}
		if item.Kind == yaml.MappingNode && fields["quota"] == nil {
			r.Add(item, fmt.Sprintf("team %q: quota is missing", team.Name))
		}
		team.Quota = r.quota(fields["quota"], fmt.Sprintf("team %q", team.Name))
		teams = append(teams, team)
	}
	return teams
}

// quota reads the quota of a team. Cores and memory are required, accelerators are
// 0 by default. The caller reports a missing quota.
func (r *configReader) quota(node *yaml.Node, label string) structs.Resources {
	if node == nil {
		return structs.Resources{}
	}
	fields := r.Mapping(node, label+": quota", "cores", "memory", "accelerators")
	if node.Kind == yaml.MappingNode {
		for _, key := range []string{"cores", "memory"} {
			if fields[key] == nil {
				r.Add(node, fmt.Sprintf("%s: quota: %s is missing", label, key))
			}
		}
	}
	return structs.Resources{
		MilliCPU:     r.Cores(fields["cores"], label+": cores"),
		MemoryMB:     r.Memory(fields["memory"], label+": memory"),
		Accelerators: r.Count(fields["accelerators"], label+": accelerators", 0, maxAcceleratorQuota),
	}
}
