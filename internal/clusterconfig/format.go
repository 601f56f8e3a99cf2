package clusterconfig

import (
	"fmt"
	"strings"

	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/yamldoc"
)

// Format returns a configuration as YAML, from which Parse reads an equal
// configuration.
func Format(config *structs.ClusterConfig) []byte {
	var b strings.Builder
	b.WriteString("classes:\n")
	for _, class := range config.Classes {
		fmt.Fprintf(&b, "  - name: %q\n", class.Name)
		fmt.Fprintf(&b, "    kind: %s\n", class.Kind)
		fmt.Fprintf(&b, "    start_target: %s\n", yamldoc.FormatDuration(class.StartTarget))
		if class.FinishTarget > 0 {
			fmt.Fprintf(&b, "    finish_target: %s\n", yamldoc.FormatDuration(class.FinishTarget))
		}
		if class.NonIdempotent {
			b.WriteString("    non_idempotent: true\n")
		}
	}
	if len(config.Teams) == 0 {
		return []byte(b.String())
	}
	b.WriteString("teams:\n")
	for _, team := range config.Teams {
		fmt.Fprintf(&b, "  - name: %q\n    quota:\n", team.Name)
		fmt.Fprintf(&b, "      cores: %s\n", yamldoc.FormatCores(team.Quota.MilliCPU))
		fmt.Fprintf(&b, "      memory: %s\n", yamldoc.FormatMemory(team.Quota.MemoryMB))
		fmt.Fprintf(&b, "      accelerators: %d\n", team.Quota.Accelerators)
	}
	return []byte(b.String())
}
