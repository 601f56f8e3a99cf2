package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/progress"
	"gypsumwinch/standin/cellstore"
)

// arrivingStore answers reads over some time, during which the answer arrives in parts.
type arrivingStore struct {
	*cellstore.Store
	duration time.Duration
}

func (s arrivingStore) Read(ctx context.Context, topic cell.Topic, from int64, wait time.Duration) (cell.Batch, error) {
	batch, err := s.Store.Read(ctx, topic, from, wait)
	for end := bootTime() + s.duration; bootTime() < end && ctx.Err() == nil; {
		progress.Report(ctx, progress.Received)
		sleep(ctx, 20*time.Millisecond)
	}
	return batch, err
}

// TestVMIsReadyWhileALargeConfigurationArrives guards against a cell whose small VMs all turn callers away at once, since they read a large configuration for longer than maxReadAge.
func TestVMIsReadyWhileALargeConfigurationArrives(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n := New(Settings{Name: "vm", PeerAddr: "vm:1"}, Ports{Store: arrivingStore{&cellstore.Store{}, maxReadAge + time.Second}}, io.Discard)
	n.config.Store(&cell.Config{Version: 1})
	go n.pollJobs(ctx) // follows the configuration on a VM that is no follower
	_, err := n.configReader.read(ctx, 0)
	is.NoErr(err)
	read := make(chan error, 1)
	go func() {
		_, err := n.configReader.read(ctx, 0)
		read <- err
	}()
	sleep(ctx, ownerReadInterval+50*time.Millisecond)
	for {
		select {
		case err := <-read:
			is.NoErr(err)
			return
		default:
		}
		is.True(n.Ready())
		sleep(ctx, 20*time.Millisecond)
	}
}
