package node

import (
	"testing"

	"github.com/matryer/is"
)

// TestFollowersHaveFastLinks guards against a planned handover of a large cell to a VM whose link
// is too slow for an owner: seconds passed before its tasks started.
func TestFollowersHaveFastLinks(t *testing.T) {
	for _, c := range []struct {
		cores, mbps float64
		want        bool
	}{
		{0.8, 200, true}, {0.4, 1000, true}, {0.4, 0, true}, {0.48, 10, false}, {0.192, 20, false}, {0.8, 10, false},
	} {
		is := is.New(t)
		is.Equal(isFollower(Settings{CPUCores: c.cores, LinkMbps: c.mbps}), c.want)
	}
}
