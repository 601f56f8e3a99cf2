package cell

import (
	"crypto/sha256"

	"gypsumwinch/internal/structs"
)

// Customer is a group of callers with a quota on workers and a share of the cell. Its callers
// identify themselves with one of its API keys.
type Customer struct {
	Name string
	// Weight is the customer's share of the cell while the cell is full, relative to the
	// other customers, and the number of jobs a second that it may submit before its further
	// jobs rank behind those of the others.
	Weight float64
	// MaxRunning limits what the customer may have running on all workers together, by
	// resource; 0 is no limit.
	MaxRunning structs.Resources
}

// KeyHash is the SHA-256 hash of an API key. The configuration in memory holds hashes only, so
// that no key gets into a log line or a dump.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key. The adapter calls it for the keys of a configuration
// and for the key of each call.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Customers are the customers of a configuration with their API keys.
type Customers struct {
	// List has the customers in the order of the configuration.
	List []Customer
	// Keys maps each API key's hash to the index of its customer in List. JSON, in which tests
	// write configurations, has no such map.
	Keys map[KeyHash]int `json:"-"`
	// byName is built by Config.Index.
	byName map[string]*Customer
}

// ByKey returns the customer that an API key belongs to, or nil. The adapter calls it for each
// call of a caller.
func (c *Customers) ByKey(hash KeyHash) *Customer {
	if i, ok := c.Keys[hash]; ok {
		return &c.List[i]
	}
	return nil
}

// ByName returns the customer with a name, or nil.
func (c *Customers) ByName(name string) *Customer { return c.byName[name] }

// index builds byName. Config.Index calls it.
func (c *Customers) index() {
	c.byName = make(map[string]*Customer, len(c.List))
	for i := range c.List {
		c.byName[c.List[i].Name] = &c.List[i]
	}
}
