// Package structs holds the types that several packages share: the published
// configuration, VMs, requests, jobs, resources and errors of calls. It contains no
// behaviour beyond arithmetic, lookups and formatting; how the types are stored on
// the log is in package records. Read Job and Request first.
package structs
