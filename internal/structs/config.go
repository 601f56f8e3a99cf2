package structs

import "time"

// ClassKind is the kind of work that a class holds.
type ClassKind string

// The kinds of class.
const (
	// KindRequest is work that runs on backend servers.
	KindRequest ClassKind = "request"
	// KindBatch is a job whose tasks may start one by one.
	KindBatch ClassKind = "batch"
	// KindGang is a job whose tasks all start at the same time or not at all.
	KindGang ClassKind = "gang"
	// KindService is a job whose tasks run until they are stopped.
	KindService ClassKind = "service"
)

// Class is a class of requests or jobs that have the same targets.
type Class struct {
	Name string    `json:"name"`
	Kind ClassKind `json:"kind"`
	// StartTarget is the target for the time from submission to start.
	StartTarget time.Duration `json:"start_target"`
	// FinishTarget is the target for the time from submission to completion. Zero,
	// which is allowed for services only, means that there is no such target.
	FinishTarget time.Duration `json:"finish_target"`
	// NonIdempotent marks work that must run at most once.
	NonIdempotent bool `json:"non_idempotent"`
}

// Team is a group of callers that share a quota of worker resources.
type Team struct {
	Name  string    `json:"name"`
	Quota Resources `json:"quota"`
}

// ClusterConfig is one version of the configuration that operators publish.
type ClusterConfig struct {
	Classes []Class `json:"classes"`
	Teams   []Team  `json:"teams"`
}

// Class returns the class with the given name, and whether it exists.
func (c *ClusterConfig) Class(name string) (Class, bool) {
	for _, class := range c.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}

// Team returns the team with the given name, and whether it exists.
func (c *ClusterConfig) Team(name string) (Team, bool) {
	for _, team := range c.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}
