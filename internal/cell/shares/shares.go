// Package shares decides how much of a cell each customer may use: how many more tasks of a
// size its quota permits, which of its jobs are beyond the rate that it may submit, and, while
// the cell is full, which customer's work comes next.
//
// The package is pure: it reads no clock and does no I/O. The owner of the cell (package owner)
// holds one Ledger for its term, reports each run that it opens or closes, and asks before it
// places tasks. Nothing is stored: a new owner opens the recorded runs again.
//
// Terms:
//
//   - An Account is what the owner knows about one customer: its quota and weight in the newest
//     configuration that had it, and what it has running.
//   - Running is the sum over all open runs of the customer, with the full need of each. A run is
//     open from its planning until it certainly does not exist on its worker any more.
//   - Overshoot is the fraction by which the quota may be exceeded. It is used only for a step
//     that does not fit into the quota at all, while the customer has nothing else running.
package shares

import (
	"iter"
	"maps"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// Ledger has the accounts of all customers.
type Ledger struct {
	accounts map[string]*Account
	// overshoot is the fraction by which a quota may be exceeded.
	overshoot float64
	// hasCustomers is true once a configuration has had customers.
	hasCustomers bool
}

// NewLedger returns a ledger without customers.
func NewLedger(overshoot float64) *Ledger {
	return &Ledger{accounts: map[string]*Account{}, overshoot: overshoot}
}

// HasCustomers reports whether a configuration of this term has had customers. Without any,
// nothing depends on the accounts.
func (l *Ledger) HasCustomers() bool { return l.hasCustomers }

// Configure applies the quotas and weights of a configuration. A customer that it does not have
// keeps its last ones, since its jobs continue.
func (l *Ledger) Configure(customers []cell.Customer) {
	l.hasCustomers = l.hasCustomers || len(customers) > 0
	for i := range customers {
		a := l.Account(customers[i].Name)
		a.quota, a.weight = customers[i].MaxRunning, customers[i].Weight
	}
}

// Account returns the account of a customer and creates it when it is first used. Jobs without
// a customer share the account with an empty name, which never has a quota.
func (l *Ledger) Account(name string) *Account {
	a, ok := l.accounts[name]
	if !ok {
		a = &Account{Name: name, overshoot: l.overshoot}
		l.accounts[name] = a
	}
	return a
}

// Accounts returns all accounts in any order.
func (l *Ledger) Accounts() iter.Seq[*Account] { return maps.Values(l.accounts) }

// Account is the usage of one customer.
type Account struct {
	// Name is the customer's name; empty for jobs without a customer.
	Name string
	// quota limits running by resource; 0 is no limit.
	quota     structs.Resources
	overshoot float64
	weight    float64

	// running is the need of the open runs, runs their number; lasting is the part of
	// long-running tasks.
	running, lasting structs.Resources
	runs             int
	// heldForPlacement and heldForQueries are what earlier steps of scheduling cycle
	// heldInCycle wait for; see Hold.
	heldForPlacement, heldForQueries structs.Resources
	heldInCycle                      int

	// bucket limits the rate of submissions; excessJobs counts those beyond it.
	bucket     bucket
	excessJobs int
}

// Run is the part of a run that counts for its customer.
type Run struct {
	Need structs.Resources
	// IsLasting is true for a long-running task, which does not end by itself.
	IsLasting bool
}

// Open adds an open run. It takes constant time, as do Close, Room and Hold.
func (a *Account) Open(r Run) {
	a.runs++
	a.running = a.running.Add(r.Need)
	if r.IsLasting {
		a.lasting = a.lasting.Add(r.Need)
	}
}

// Close removes a run that Open added.
func (a *Account) Close(r Run) {
	a.runs--
	a.running = a.running.Sub(r.Need)
	if r.IsLasting {
		a.lasting = a.lasting.Sub(r.Need)
	}
}

// Running returns the need of all open runs and their number.
func (a *Account) Running() (need structs.Resources, runs int) { return a.running, a.runs }

// Quota returns the customer's quota by resource; 0 is no limit.
func (a *Account) Quota() structs.Resources { return a.quota }

// QuotaUsed returns the largest fraction of the quota that is in use, of the resources that it
// limits; 0 without a quota.
func (a *Account) QuotaUsed() float64 {
	used := 0.0
	running := amounts(a.running)
	for i, limit := range amounts(a.quota) {
		if limit > 0 {
			used = max(used, float64(running[i])/float64(limit))
		}
	}
	return used
}

// amounts returns the resources as a list, so that a rule can be applied to each.
func amounts(r structs.Resources) [3]int64 {
	return [3]int64{r.MilliCPU, r.MemoryMB, r.Accelerators}
}
