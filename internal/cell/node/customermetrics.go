package node

import (
	"errors"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"gypsumwinch/internal/cell"
)

// Outcomes of submissions by customer. Refused submissions have the reason in their outcome.
const (
	outcomeAccepted = "accepted"
	// outcomeKeyRefused is that of calls of any method that were answered 401.
	outcomeKeyRefused = "refused_key"
	// outcomeStoreRefused is that of submissions that were certainly not recorded.
	outcomeStoreRefused = "refused_store"
	// outcomeConfigRefused is that of submissions whose keys this VM could not judge.
	outcomeConfigRefused = "refused_config"
	// outcomeMemoryRefused is that of submissions for which there is no memory.
	outcomeMemoryRefused = "refused_memory"
	outcomeUnknown       = "unknown"
	// noCustomer is the label of calls without a customer, and of customers that are not in the
	// configuration in force.
	noCustomer = "none"
)

// customerMetrics count submissions by customer. Only names of the configuration in force become
// label values, so that their number stays bounded while versions with other customers come into
// force. It is safe for concurrent use.
type customerMetrics struct {
	submissions *prometheus.CounterVec

	mu sync.Mutex
	// names has the customers of the configuration in force.
	names map[string]bool
}

// newCustomerMetrics registers the metrics. New calls it once.
func newCustomerMetrics(registry *prometheus.Registry) *customerMetrics {
	m := &customerMetrics{submissions: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gypsumwinch_customer_submissions_total",
		Help: "Submissions of jobs by customer and outcome, and calls that were refused for their key.",
	}, []string{"customer", "outcome"})}
	registry.MustRegister(m.submissions)
	return m
}

// keepOnly removes the counts of customers that the configuration does not have.
func (m *customerMetrics) keepOnly(customers *cell.Customers) {
	names := map[string]bool{}
	if customers != nil {
		for _, c := range customers.List {
			names[c.Name] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.names {
		if !names[name] {
			m.submissions.DeletePartialMatch(prometheus.Labels{"customer": name})
		}
	}
	m.names = names
}

// count counts a submission of a customer, or a call without one if the name is empty.
func (m *customerMetrics) count(name, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.names[name] {
		name = noCustomer
	}
	m.submissions.WithLabelValues(name, outcome).Inc()
}

// customerOutcome returns the outcome of a submission that could not be recorded.
func customerOutcome(err error) string {
	var notExecuted *cell.NotExecutedError
	if errors.As(err, &notExecuted) {
		return outcomeStoreRefused
	}
	return outcomeUnknown
}

// customerCount returns the number of customers of a configuration, or -1 if it has no list of
// customers, so that calls need no key.
func customerCount(config *cell.Config) int {
	if config.Customers == nil {
		return -1
	}
	return len(config.Customers.List)
}

// customerDetails returns the customer of a job for a log line, if it has one.
func customerDetails(job *cell.Job) []any {
	if job.Customer == "" {
		return nil
	}
	return []any{"customer", job.Customer}
}

// CountInvalidKey records a call on a queue whose key is missing, malformed, unknown or revoked.
// It runs on the goroutine of the call.
func (n *Node) CountInvalidKey(queue string) {
	n.customerMetrics.count("", outcomeKeyRefused)
	n.logLimited(&n.invalidKeyLimiter, "call is refused", "queue", queue, "reason", "key")
}
