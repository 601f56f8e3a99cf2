package daemon

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"gypsumwinch/internal/configstate"
	"gypsumwinch/internal/platform"
	"gypsumwinch/internal/records"
)

// Guards against VMs that cannot establish the configuration in force, because
// a record that cannot be parsed looks like a gap in the log.
func TestUnreadableRecordLeavesNoGap(t *testing.T) {
	is := is.New(t)
	d := &Daemon{logger: hclog.NewNullLogger()}
	entries := d.decode(records.StreamConfig, []platform.Entry{
		{Offset: 0, Data: json.RawMessage(`"no record"`)},
		{Offset: 1, Data: json.RawMessage(`{"config_publish":{"id":"a","base":-1,"yaml":"classes: [{name: a, start_target: 1s, finish_target: 2s}]"}}`)},
	})
	state := configstate.New()
	for _, e := range entries {
		state.Apply(e.offset, e.record)
	}
	is.Equal(state.Current().Version, int64(1))
	is.True(state.Established())
}

// smallLog fails reads of many entries, like a log whose longer responses
// exceed the client's limit.
type smallLog struct{ unavailablePlatform }

func (smallLog) Read(_ context.Context, _ string, from int64, max int, _ time.Duration) ([]platform.Entry, int64, bool, error) {
	if max > 1000 {
		return nil, 0, false, errPlatformUnavailable
	}
	return nil, from + 1, false, nil
}

// Guards against a stream whose reading never advances, because a read of the
// full number of large records exceeds the client's size limit or time each
// time.
func TestReadOfLargeRecordsGetsSmaller(t *testing.T) {
	d := New(DefaultSettings(), hclog.NewNullLogger(), Dependencies{Log: smallLog{}, VMList: unavailablePlatform{}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.readStream(ctx, records.StreamConfig)
	for range 10 {
		if _, ok := (<-d.events).(logBatch); ok {
			return
		}
	}
	t.Fatal("no read was answered")
}
