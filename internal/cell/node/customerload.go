package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"gypsumwinch/internal/cell/owner"
)

// maxLoggedCustomers bounds the customers in the line about their load and in the metrics: those
// with the most tasks.
const maxLoggedCustomers = 10

// customerLoads are the metrics of the customers' loads. Only the owner of the cell has values.
type customerLoads struct {
	tasks         *prometheus.GaugeVec
	quotaWaiting  *prometheus.GaugeVec
	quotaUsed     *prometheus.GaugeVec
	weightedShare *prometheus.GaugeVec
	excessJobs    *prometheus.GaugeVec
}

// newCustomerLoads registers the metrics. newMetrics calls it once.
func newCustomerLoads(registry *prometheus.Registry) *customerLoads {
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, append([]string{"customer"}, labels...))
		registry.MustRegister(g)
		return g
	}
	return &customerLoads{
		tasks:         gauge("gypsumwinch_customer_tasks", "Tasks of the largest customers by state, as this VM, the owner, counts them.", "state"),
		quotaWaiting:  gauge("gypsumwinch_customer_quota_waiting_steps", "Steps that wait for the quota of their customer."),
		quotaUsed:     gauge("gypsumwinch_customer_quota_used_ratio", "Largest fraction of a limit of the customer's quota in use."),
		weightedShare: gauge("gypsumwinch_customer_weighted_share", "Largest fraction of a resource of the cell in use, divided by the weight."),
		excessJobs:    gauge("gypsumwinch_customer_excess_jobs", "Jobs beyond the customer's rate since this VM owns the cell."),
	}
}

// set replaces the values. The control loop calls it once per second, and runOwnership without
// loads at the end of the term.
func (l *customerLoads) set(loads []owner.CustomerLoad) {
	for _, g := range []*prometheus.GaugeVec{l.tasks, l.quotaWaiting, l.quotaUsed, l.weightedShare, l.excessJobs} {
		g.Reset()
	}
	for _, c := range loads {
		l.tasks.WithLabelValues(c.Name, "running").Set(float64(c.RunningTasks))
		l.tasks.WithLabelValues(c.Name, "waiting").Set(float64(c.WaitingTasks))
		l.quotaWaiting.WithLabelValues(c.Name).Set(float64(c.QuotaWaitingSteps))
		l.quotaUsed.WithLabelValues(c.Name).Set(c.QuotaUsed)
		l.weightedShare.WithLabelValues(c.Name).Set(c.Share)
		l.excessJobs.WithLabelValues(c.Name).Set(float64(c.ExcessJobs))
	}
}

// loggedCustomer is a customer in the line about their load.
type loggedCustomer struct {
	Name              string `json:"name"`
	RunningTasks      int    `json:"running_tasks"`
	WaitingTasks      int    `json:"waiting_tasks"`
	QuotaWaitingSteps int    `json:"quota_waiting_steps"`
	QuotaUsedPercent  int    `json:"quota_used_percent"`
	ExcessJobs        int    `json:"excess_jobs"`
}

// logCustomers logs the loads of the largest customers and sets the metrics. logLoad calls it;
// without customers in the configuration it writes nothing.
func (c *controlLoop) logCustomers() {
	loads := c.machine.CustomerLoads(maxLoggedCustomers)
	c.node.metrics.customerLoads.set(loads)
	if len(loads) == 0 {
		return
	}
	logged := make([]loggedCustomer, 0, len(loads))
	for _, l := range loads {
		logged = append(logged, loggedCustomer{Name: l.Name, RunningTasks: l.RunningTasks, WaitingTasks: l.WaitingTasks,
			QuotaWaitingSteps: l.QuotaWaitingSteps, QuotaUsedPercent: int(100 * l.QuotaUsed), ExcessJobs: l.ExcessJobs})
	}
	c.log.Info("load of the customers", "term", c.term, "customers", logged)
}
