package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gypsumwinch/standin/fleet"
	"gypsumwinch/standin/storeserver"
)

// ChangeKind is a kind of change of a customer.
type ChangeKind string

// Kinds of changes of a customer.
const (
	// RevokeKey removes the key that changes of one customer.
	RevokeKey ChangeKind = "revoke-key"
	// ReplaceKey removes that key and adds another one in the same version.
	ReplaceKey ChangeKind = "replace-key"
	// MoveKey gives that key to the next customer, whose own one it replaces.
	MoveKey ChangeKind = "move-key"
	// SetQuota draws the quota of a customer anew.
	SetQuota ChangeKind = "set-quota"
)

// changeKinds lists the kinds that WithCustomers draws, each as likely as it is listed.
var changeKinds = []ChangeKind{RevokeKey, ReplaceKey, ReplaceKey, MoveKey, SetQuota, SetQuota}

// CustomerChange is a change of one customer that a new version of the configuration has.
type CustomerChange struct {
	// At is the time from the start of the traffic.
	At   time.Duration `yaml:"at"`
	Kind ChangeKind    `yaml:"kind"`
	// Target is the customer; it counts modulo their number.
	Target int `yaml:"target"`
	// MilliCPU and MemoryMB are the quota that SetQuota sets.
	MilliCPU int64 `yaml:"milli_cpu,omitempty"`
	MemoryMB int64 `yaml:"memory_mb,omitempty"`
}

const (
	// meanChangeGap is the mean time between two changes.
	meanChangeGap = 4 * time.Second
	// Quotas are drawn from these limits up to twice as much. A gang of maxGang tasks fits, and
	// the jobs of a customer need more at most times.
	minQuotaMilliCPU = 12_000
	minQuotaMemoryMB = 14_000
	// maxGang and maxGangMilliCPU bound the gangs of customers. A gang above its customer's
	// quota could never start.
	maxGang         = 3
	maxGangMilliCPU = 3_000
	// quotaOvershoot is QuotaOvershoot of the platform.
	quotaOvershoot = 0.1
	// keylessShare is the share of the jobs without a customer, on the public route.
	keylessShare = 0.1
	// keyPrefix begins all keys, so that they are found in logs and records.
	keyPrefix = "soakkey"
	// publicPrefix is the path prefix of the public route.
	publicPrefix = "/public/"
)

// WithCustomers returns the schedule with customers and changes that are drawn from the seed. The
// rest of the schedule is the same.
func (s Schedule) WithCustomers(count int) Schedule {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	s.Customers, s.CustomerChanges = count, nil
	for at := quietStart; at < s.Traffic; at += time.Duration(rng.ExpFloat64() * float64(meanChangeGap)) {
		change := CustomerChange{At: at.Round(time.Millisecond), Kind: changeKinds[rng.IntN(len(changeKinds))], Target: rng.IntN(count)}
		if change.Kind == SetQuota {
			change.MilliCPU, change.MemoryMB = drawQuota(rng)
		}
		s.CustomerChanges = append(s.CustomerChanges, change)
	}
	return s
}

func drawQuota(rng *rand.Rand) (milliCPU, memoryMB int64) {
	return minQuotaMilliCPU + rng.Int64N(minQuotaMilliCPU), minQuotaMemoryMB + rng.Int64N(minQuotaMemoryMB)
}

// customer is one customer in the newest version. It has a key that stays, with which its callers
// can always go on, and one that changes, which may be missing.
type customer struct {
	name               string
	stays, changes     string
	milliCPU, memoryMB int64
}

// keyRecord is the history of one key.
type keyRecord struct {
	// addedAt is when the first version with the key was acknowledged.
	addedAt time.Time
	// revokingAt is when the first version without it was sent, revokedAt when that was
	// acknowledged; both are zero while the key is valid.
	revokingAt, revokedAt time.Time
	// isMoved is true if it has had several customers.
	isMoved bool
}

// configVersion is one version with the quotas of the customers.
type configVersion struct {
	sentAt, acknowledgedAt time.Time
	customers              []customer
}

// customerBook has the customers of all versions of the configuration.
type customerBook struct {
	mu        sync.Mutex
	seed      uint64
	nextKey   int
	customers []customer
	keys      map[string]*keyRecord
	versions  []configVersion
}

func newCustomerBook(seed uint64, count int) *customerBook {
	b := &customerBook{seed: seed, keys: map[string]*keyRecord{}}
	rng := rand.New(rand.NewPCG(seed, 3))
	for i := range count {
		c := customer{name: fmt.Sprintf("customer-%d", i), stays: b.newKey(), changes: b.newKey()}
		c.milliCPU, c.memoryMB = drawQuota(rng)
		b.customers = append(b.customers, c)
	}
	return b
}

// newKey returns a key that no version has had.
func (b *customerBook) newKey() string {
	b.nextKey++
	return fmt.Sprintf(keyPrefix+"%x-%06d", b.seed, b.nextKey)
}

// apply changes a customer in the next version.
func (b *customerBook) apply(change CustomerChange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &b.customers[change.Target%len(b.customers)]
	switch change.Kind {
	case RevokeKey:
		c.changes = ""
	case ReplaceKey:
		c.changes = b.newKey()
	case MoveKey:
		next := &b.customers[(change.Target+1)%len(b.customers)]
		if record := b.keys[c.changes]; record != nil && next != c {
			record.isMoved = true
			next.changes, c.changes = c.changes, ""
		}
	case SetQuota:
		c.milliCPU, c.memoryMB = change.MilliCPU, change.MemoryMB
	}
}

// validKeys returns the keys of a customer in the newest version.
func (c *customer) validKeys() []string {
	if c.changes == "" {
		return []string{c.stays}
	}
	return []string{c.stays, c.changes}
}

// current returns a copy of the customers in the newest version.
func (b *customerBook) current() []customer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.customers)
}

// recordVersion records a version that the store has acknowledged.
func (b *customerBook) recordVersion(v configVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions = append(b.versions, v)
	valid := map[string]bool{}
	for i := range v.customers {
		for _, key := range v.customers[i].validKeys() {
			valid[key] = true
			if b.keys[key] == nil {
				b.keys[key] = &keyRecord{addedAt: v.acknowledgedAt}
			}
		}
	}
	for key, record := range b.keys {
		if !valid[key] && record.revokedAt.IsZero() {
			record.revokingAt, record.revokedAt = v.sentAt, v.acknowledgedAt
		}
	}
}

// publishCustomers publishes a version with the customers. publish calls it.
func (c *cluster) publishCustomers(version int64, routes []storeserver.Route) error {
	routes[len(routes)-1].Public = true // the route of the version, which is asked for without a key
	routes = append(routes, storeserver.Route{
		Name: "public", Host: host, PathPrefix: publicPrefix, Service: service, Priority: 1, MaxAttempts: maxAttempts, SlackFactor: 2, TargetLatencyMs: 2000, Public: true,
	})
	v := configVersion{sentAt: time.Now(), customers: c.customers.current()}
	var wire []storeserver.Customer
	for _, cu := range v.customers {
		wire = append(wire, storeserver.Customer{Name: cu.name, Keys: cu.validKeys(), Weight: 2, MilliCPU: cu.milliCPU, MemoryMB: cu.memoryMB})
	}
	if err := c.store.PublishCustomers(version, routes, service, wire); err != nil {
		return err
	}
	v.acknowledgedAt = time.Now()
	c.customers.recordVersion(v)
	return nil
}

// playChanges publishes the changes of customers at their times.
func (c *cluster) playChanges(changes []CustomerChange) {
	startedAt := time.Now()
	for _, change := range changes {
		time.Sleep(time.Until(startedAt.Add(change.At)))
		c.customers.apply(change)
		c.publishOrReport()
	}
}

// drawCustomer draws the customer of a job, or -1 for one without a customer.
func (c *cluster) drawCustomer() int {
	if c.customers == nil || rand.Float64() < keylessShare {
		return -1
	}
	return rand.IntN(len(c.customers.current()))
}

// prefix returns the path prefix of a job: jobs without a key use the public route.
func (c *cluster) prefix(queuePrefix string, customer int) string {
	if c.customers != nil && customer < 0 {
		return publicPrefix
	}
	return queuePrefix
}

// fitSteps makes the steps of a job runnable in a run with customers: gangs fit the smallest quota,
// and the public route needs no advice.
func (c *cluster) fitSteps(customer int, steps []fleet.Step, phases []map[string]any) {
	if c.customers == nil {
		return
	}
	for i := range steps {
		s := &steps[i]
		s.NeedsTickets = s.NeedsTickets && customer >= 0
		if s.Gang {
			s.Count, s.MilliCPU = min(s.Count, maxGang), min(s.MilliCPU, maxGangMilliCPU)
			phases[i]["Count"], phases[i]["Cpu"] = s.Count, s.MilliCPU
		}
	}
}
