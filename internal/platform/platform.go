// Package platform is the older adapter to the platform: it defines the interfaces Log
// and VMList to the platform's log service and list of VMs, and implements them as HTTP
// clients. The structs of the HTTP bodies are exported, since the stand-ins for the two
// services use them too.
//
// The package neither interprets the records of the log nor retries calls. The adapter
// to the users' platform, with its store, is the package platform at the root of the
// repository. Read Log first.
package platform

import (
	"context"
	"encoding/json"
	"time"

	"gypsumwinch/internal/structs"
)

// Entry is one record of a stream.
type Entry struct {
	Offset int64 `json:"offset"`
	// Time is when the record was appended, on the clock of the log service.
	Time time.Time       `json:"time"`
	Data json.RawMessage `json:"data"`
}

// Log is the platform's append-only log. It has streams; offsets count the records of
// one stream from 0 and are never used again. Records are dropped after a retention
// time. Implementations are safe for concurrent use.
type Log interface {
	// Append appends records to a stream, all or none of them, and returns the offset
	// of the first. After an error the records may or may not be in the log.
	Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error)
	// Read returns up to maxEntries entries from the given offset on. If there is none
	// yet, it waits for one, up to the given time. If the record at the offset has been
	// dropped, entries begins with the first retained one. next is the offset from which
	// to read on; atEnd is true if the stream ended there.
	Read(ctx context.Context, stream string, from int64, maxEntries int, wait time.Duration) (entries []Entry, next int64, atEnd bool, err error)
	// Bounds returns the offset of the first retained record and that of the next record
	// to be appended.
	Bounds(ctx context.Context, stream string) (first, next int64, err error)
}

// VMList is the platform's list of live and leaving VMs. Changes appear in it with a
// delay. Implementations are safe for concurrent use.
type VMList interface {
	// List returns all listed VMs. The caller must not modify the slice.
	List(ctx context.Context) ([]structs.VM, error)
}
