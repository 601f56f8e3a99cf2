package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// TestLagCountsFromTheOldestMissingVersion guards against a VM that never counts as outdated, since newer versions keep coming.
func TestLagCountsFromTheOldestMissingVersion(t *testing.T) {
	is := is.New(t)
	var l configLag
	is.Equal(l.lasting(time.Second), time.Duration(0))
	for i := range 5 {
		l.hear(int64(10+i), time.Duration(i+1)*time.Second)
		l.hear(10, 20*time.Second) // from a VM that is behind itself
	}
	is.Equal(l.lasting(6*time.Second), 5*time.Second)
	l.putInForce(12)
	is.Equal(l.lasting(6*time.Second), 2*time.Second)
	l.putInForce(14)
	is.Equal(l.lasting(6*time.Second), time.Duration(0))
}

// TestOutdatedConfigurationIsNotServed guards against a VM that serves dropped routes for as long as it cannot read the version that it knows to be in force elsewhere.
func TestOutdatedConfigurationIsNotServed(t *testing.T) {
	is := is.New(t)
	n := newNodeWithOwner(&cellstore.Store{}, &fakeOwner{})
	n.settings.ConfigApplyLimit = 3 * time.Second
	n.committer.lastReadAt = bootTime
	first := &cell.Config{Version: 1}
	n.config.Store(first)
	reply := func(isHealthy bool, version int64) {
		n.ownerReply.Store(&ownerReply{receivedAt: bootTime(), instance: "o-1", isHealthy: isHealthy})
		n.jobsReader.lastReadAt.Store(int64(bootTime()))
		n.hearConfigVersion(version)
	}
	reply(true, 1)
	is.Equal(n.Config(), first)
	reply(true, 2)
	is.Equal(n.Config(), first) // may not be acknowledged yet
	is.True(n.Ready())
	n.configLag.heard[0].at -= 3 * time.Second
	reply(true, 2)
	is.Equal(n.Config(), nil)
	is.True(!n.Ready())
	reply(false, 2)
	is.Equal(n.Config(), first) // the store does not answer the owner either
	n.ownerReply.Store(nil)
	is.Equal(n.Config(), first) // cut off
	reply(true, 2)
	n.decoder = versionDecoder{}
	n.applyConfigRecords([]cell.KeyValue{{Key: "config", Value: []byte{2}}})
	is.Equal(n.Config().Version, int64(2))
	is.True(n.Ready())
}

// versionDecoder decodes configurations that consist of a version.
type versionDecoder struct{ Decoder }

func (versionDecoder) Config(_ string, value []byte) (*cell.Config, bool, error) {
	return &cell.Config{Version: int64(value[0])}, true, nil
}
