package node

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are the counters of a node.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	starts   prometheus.Counter
	appends  prometheus.Counter
	owning   prometheus.Gauge
	jobs     prometheus.GaugeFunc
}

func newMetrics(jobs func() float64) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumwinch_caller_requests_total", Help: "Requests of callers by operation and outcome.",
		}, []string{"operation", "outcome"}),
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gypsumwinch_start_orders_total", Help: "Orders to start a run that were sent to workers.",
		}),
		appends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gypsumwinch_progress_appends_total", Help: "Appends of progress to the store.",
		}),
		owning: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gypsumwinch_owner_term", Help: "Term of the ownership of the cell, 0 if another VM owns it.",
		}),
		jobs: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "gypsumwinch_known_jobs", Help: "Jobs whose state this VM knows.",
		}, jobs),
	}
	m.registry.MustRegister(m.requests, m.starts, m.appends, m.owning, m.jobs)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
