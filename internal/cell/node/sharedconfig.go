package node

import (
	"context"
	"sync/atomic"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/cellpb"
)

// A VM that serves as a store proxy answers reads of the configuration with the record that it has
// read itself. While a store is busy with a large version, the VMs that it keeps waiting get it from
// those that have it, instead of adding further reads of the same record to its queue.

const (
	// maxSharedConfigAge is the age of the last read of the configuration up to which a VM answers
	// from memory.
	maxSharedConfigAge = configReadInterval + 200*time.Millisecond
	// sharedConfigCheckInterval is how often a call checks whether a read of this VM has ended.
	sharedConfigCheckInterval = 20 * time.Millisecond
)

// sharedConfig is the configuration that this VM has read, for other VMs.
type sharedConfig struct {
	reader *topicReader
	// record is the record of the newest configuration that reader has read, or nil.
	record atomic.Pointer[cell.KeyValue]
}

// readAfter returns an answer with the configuration if it is behind an offset, or nil if another VM
// or the store has to be asked. It waits for a read in flight. The Read RPC calls it.
//
// The answer says that more records follow, so that its reader goes on with a read of the store: what
// this VM has read may be a second old.
func (s *sharedConfig) readAfter(ctx context.Context, from int64) *cellpb.BatchResponse {
	for s.reader.nextOffset.Load() <= from && s.reader.isReading() && ctx.Err() == nil {
		sleep(ctx, sharedConfigCheckInterval)
	}
	// The position is read before the record, which may be one of a later read, but not an older one.
	next := s.reader.nextOffset.Load()
	record := s.record.Load()
	if next <= from || record == nil || s.reader.now()-time.Duration(s.reader.lastReadAt.Load()) > maxSharedConfigAge {
		return nil
	}
	return &cellpb.BatchResponse{Outcome: cellpb.Outcome_DONE, Records: recordsToProto([]cell.KeyValue{*record}), Next: next, End: next + 1}
}
