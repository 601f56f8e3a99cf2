package node

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// clientLimitLogInterval is the time between two lines about limits of clients. Clients that
// misbehave reach them thousands of times a second.
const clientLimitLogInterval = time.Second

// clientLimitLog sums up which limits clients have reached since the last line.
type clientLimitLog struct {
	mu       sync.Mutex
	loggedAt time.Time
	counts   map[string]int
}

// add counts an event and returns the counts since the last line if a line is due, else nil.
func (l *clientLimitLog) add(event string, now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[string]int{}
	}
	l.counts[event]++
	if now.Sub(l.loggedAt) < clientLimitLogInterval {
		return nil
	}
	counts := l.counts
	l.loggedAt, l.counts = now, nil
	return counts
}

// ClientLimitReached counts a request or a connection that was refused or closed because of
// a limit on clients, by listener and reason, and logs it. The daemon passes it to the
// servers of callers and readiness checks.
func (n *Node) ClientLimitReached(listener, reason string) {
	n.metrics.clientLimits.WithLabelValues(listener, reason).Inc()
	counts := n.clientLimitLog.add(listener+"_"+reason, time.Now())
	if counts == nil {
		return
	}
	var details []any
	for _, event := range sortedKeys(counts) {
		details = append(details, event, counts[event])
	}
	n.log.Warn("clients are limited", details...)
}

// sortedKeys returns the keys of a map in order.
func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}
