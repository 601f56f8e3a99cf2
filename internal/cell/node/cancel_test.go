package node

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// TestCancellationsAreLogged guards against a complaint about a cancelled job whose logs do not
// say whether a VM accepted or denied its cancellation, and what a denial rested on.
func TestCancellationsAreLogged(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var out bytes.Buffer
	n := New(Settings{Name: "vm", PeerAddr: "vm:1", CPUCores: 1}, Ports{Store: &cellstore.Store{}}, &out)
	is.NoErr(n.jobsReader.readToEnd(ctx))
	is.NoErr(n.progressReader.readToEnd(ctx))
	go n.committer.run(ctx)
	n.applyJobRecords([]cell.KeyValue{recordOf(t, "a")})
	for id, wantKnown := range map[cell.JobID]bool{"a": true, "b": false} {
		known, err := n.Cancel(ctx, id)
		is.NoErr(err)
		is.Equal(known, wantKnown)
	}
	n.logWriter.flush(time.Minute)
	for _, want := range []string{
		`"@message":"cancellation is accepted","@module":"vm","@timestamp":`, `"id":"a","source":"replica"`,
		`"@message":"cancellation is denied","@module":"vm","@timestamp":`, `"id":"b","source":"unread part of the topic"`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log has no %s: %s", want, out.String())
		}
	}
}
