package soak

import (
	"net"
	"strings"

	"gypsumwinch/standin/storeserver"
)

// entryKind is what a worker writes about itself in the store.
type entryKind int

const (
	entryValid entryKind = iota
	// entryUnchanged leaves the last entry as it is.
	entryUnchanged
	entryRemoved
	entryNotJSON
	// entryWithoutPort has an address whose port is out of range.
	entryWithoutPort
	// entryNested has more levels than a JSON decoder accepts.
	entryNested
)

// oddEntries are the entries that name no worker.
var oddEntries = []entryKind{entryNotJSON, entryWithoutPort, entryNested}

// nestedLevels is above the limit of encoding/json, 10,000.
const nestedLevels = 20000

// setEntry sets what a worker writes about itself from now on.
func (c *cluster) setEntry(w *workerSlot, entry entryKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.entry = entry
}

// writeEntry writes an entry of a kind.
func (w *workerSlot) writeEntry(store *storeserver.Server, kind entryKind, e storeserver.WorkerEntry) error {
	switch kind {
	case entryUnchanged:
		return nil
	case entryRemoved:
		return store.WriteEntry(e.ID, nil)
	case entryNotJSON:
		return store.WriteEntry(e.ID, []byte(`{"Service":"soak","Address":`))
	case entryNested:
		return store.WriteEntry(e.ID, []byte(strings.Repeat("[", nestedLevels)+strings.Repeat("]", nestedLevels)))
	case entryWithoutPort:
		if ip, _, err := net.SplitHostPort(e.Addr); err == nil {
			e.Addr = net.JoinHostPort(ip, "99999")
		}
	}
	return store.WriteWorker(e)
}
