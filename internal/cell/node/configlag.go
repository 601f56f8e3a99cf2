package node

import (
	"sync"
	"sync/atomic"
	"time"
)

// configHearingSlack is what the time between the acknowledgement of a configuration and the hello
// message that reports it here may have beyond the intervals of the owner's reads and of hello
// messages: the durations of one read and one message.
const configHearingSlack = 100 * time.Millisecond

// configLag holds the versions of the configuration that other VMs have reported and that are not in
// force on this one. It is safe for concurrent use.
type configLag struct {
	mu    sync.Mutex
	heard []heardVersion
	// isOutdated is what was last logged.
	isOutdated atomic.Bool
}

// heardVersion is a version and the boot time of the first report about it.
type heardVersion struct {
	version int64
	at      time.Duration
}

// hear records a report about a version. Older versions than one that was reported before are not
// news.
func (l *configLag) hear(version int64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.heard); n == 0 || version > l.heard[n-1].version {
		l.heard = append(l.heard, heardVersion{version, now})
	}
}

// putInForce drops the versions up to one that has come into force.
func (l *configLag) putInForce(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.heard) > 0 && l.heard[0].version <= version {
		l.heard = l.heard[1:]
	}
}

// lasting returns for how long a newer version than the one in force has been known, or 0.
func (l *configLag) lasting(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.heard) == 0 {
		return 0
	}
	return now - l.heard[0].at
}

// hearConfigVersion records the version that another VM has in force, and reads the configuration if
// it is a newer one. The hello loop calls it for each answer.
func (n *Node) hearConfigVersion(version int64) {
	defer n.logOutdatedConfig()
	config := n.config.Load()
	if config == nil || version <= config.Version {
		return
	}
	n.configLag.hear(version, bootTime())
	if config := n.config.Load(); config.Version >= version {
		n.configLag.putInForce(config.Version) // it came into force meanwhile
	}
	n.configReader.pollNow()
}

// isConfigOutdated reports whether the configuration in force may have been replaced for longer than
// the bound: a newer version was reported so long ago that this VM must not act on its own one. A VM
// whose owner has lost the store, too, or which knows no owner goes on with what it has.
func (n *Node) isConfigOutdated() bool {
	lag := n.configLag.lasting(bootTime())
	if lag == 0 || n.settings.ConfigApplyLimit == 0 {
		return false
	}
	hearingDelay := configReadInterval + n.currentHelloInterval() + configHearingSlack
	return lag > n.settings.ConfigApplyLimit-hearingDelay && n.ownerStatus().Healthy
}

// logOutdatedConfig logs when the configuration becomes outdated and when that ends.
// hearConfigVersion calls it.
func (n *Node) logOutdatedConfig() {
	isOutdated := n.isConfigOutdated()
	if n.configLag.isOutdated.Swap(isOutdated) == isOutdated {
		return
	}
	if isOutdated {
		n.log.Warn("configuration is outdated, callers are refused", "version", n.config.Load().Version)
		return
	}
	n.log.Info("configuration is no longer outdated", "version", n.config.Load().Version)
}
