package yamldoc

// ParseMemory returns in mebibytes an amount of memory with the unit MiB, GiB or
// TiB, such as "512MiB" or "2GiB". Package callerapi uses it for the memory field
// of a job, which arrives as JSON and not through a Reader.
func ParseMemory(s string) (int64, error) {
	return parseMemory(s)
}
