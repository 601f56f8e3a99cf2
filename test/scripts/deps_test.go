package scripts

// TestMain builds the programs under test with go build, which the test cache
// does not track. These imports make the programs' packages dependencies of the
// test, so that go test does not report a cached result after one of them
// changed.
import (
	_ "gypsumwinch/internal/daemon"
	_ "gypsumwinch/internal/jobspec"
	_ "gypsumwinch/internal/operatorapi"
	_ "gypsumwinch/standin"
)
