package node

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gypsumwinch/internal/cell/owner"
)

// metrics are the Prometheus metrics of a node.
type metrics struct {
	registry        *prometheus.Registry
	callerRequests  *prometheus.CounterVec
	startRequests   prometheus.Counter
	progressAppends prometheus.Counter
	// storeReads and storeReadBytes count the reads of topics and what they returned.
	storeReads     *prometheus.CounterVec
	storeReadBytes *prometheus.CounterVec
	// unsentRequests counts requests to workers that were not sent because their
	// permission had expired.
	unsentRequests prometheus.Counter
	panics         *prometheus.CounterVec
	ownerTerm      prometheus.Gauge
	// distinctWorkers counts the workers that this VM, as the owner, knows to be slow or fast.
	distinctWorkers *prometheus.GaugeVec
	knownJobs       prometheus.GaugeFunc
	// expiredJobs is the number of jobs past their retention that the owner still keeps.
	expiredJobs   prometheus.Gauge
	customerLoads *customerLoads
	// suspectWorkers and bestEffortRuns are set while this VM owns the cell.
	suspectWorkers *prometheus.GaugeVec
	bestEffortRuns *prometheus.GaugeVec
	// clientLimits counts what was refused or closed because of a limit on clients.
	clientLimits *prometheus.CounterVec
}

// newMetrics registers the metrics of a node. jobs returns the number of known
// jobs and is called each time the metrics are read. New calls newMetrics
// once.
func newMetrics(jobs func() float64) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		callerRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumwinch_caller_requests_total", Help: "Requests of callers by operation and outcome.",
		}, []string{"operation", "outcome"}),
		startRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gypsumwinch_start_orders_total", Help: "Orders to start a run that were sent to workers.",
		}),
		progressAppends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gypsumwinch_progress_appends_total", Help: "Appends of progress to the store.",
		}),
		storeReads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumwinch_store_reads_total", Help: "Reads of topics of the store by outcome.",
		}, []string{"topic", "outcome"}),
		storeReadBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumwinch_store_read_bytes_total", Help: "Bytes of the records that reads of topics returned.",
		}, []string{"topic"}),
		unsentRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gypsumwinch_unsent_requests_total", Help: "Requests to workers that were not sent because their permission had expired.",
		}),
		panics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumwinch_contained_panics_total", Help: "Panics that were contained, by the part of the program.",
		}, []string{"part"}),
		ownerTerm: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gypsumwinch_owner_term", Help: "Term of the ownership of the cell, 0 if another VM owns it.",
		}),
		distinctWorkers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "gypsumwinch_distinct_workers", Help: "Workers that the owner of the cell knows to be slower or faster than usual.",
		}, []string{"speed"}),
		knownJobs: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "gypsumwinch_known_jobs", Help: "Jobs whose state this VM knows.",
		}, jobs),
		expiredJobs: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gypsumwinch_expired_jobs", Help: "Ended jobs that this VM, as the owner, keeps past their retention.",
		}),
		suspectWorkers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "gypsumwinch_suspect_workers", Help: "Workers by suspicion, as this VM sees them as the owner.",
		}, []string{"state"}),
		bestEffortRuns: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "gypsumwinch_best_effort_runs", Help: "Runs of best-effort tasks by pace, as this VM sees them as the owner.",
		}, []string{"pace"}),
		clientLimits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumwinch_client_limits_total", Help: "Requests refused and connections closed because of a limit on clients, by listener and reason.",
		}, []string{"listener", "reason"}),
	}
	m.customerLoads = newCustomerLoads(m.registry)
	m.registry.MustRegister(m.callerRequests, m.startRequests, m.progressAppends, m.storeReads, m.storeReadBytes, m.unsentRequests, m.panics, m.ownerTerm, m.knownJobs, m.expiredJobs,
		m.suspectWorkers, m.bestEffortRuns, m.distinctWorkers, m.clientLimits)
	return m
}

// setHealth sets the metrics of workers and paces. The control loop calls it every
// loadLogInterval, and with the zero value when the ownership ends.
func (m *metrics) setHealth(h owner.Health) {
	m.suspectWorkers.WithLabelValues("quarantined").Set(float64(h.Quarantined))
	m.suspectWorkers.WithLabelValues("on_trial").Set(float64(h.Suspect - h.Quarantined))
	m.suspectWorkers.WithLabelValues("cleared_by_rate").Set(float64(h.ClearedByRate))
	m.bestEffortRuns.WithLabelValues("full").Set(float64(h.FullPace))
	m.bestEffortRuns.WithLabelValues("slowed").Set(float64(h.Slowed))
	m.bestEffortRuns.WithLabelValues("floor").Set(float64(h.AtFloor))
	m.bestEffortRuns.WithLabelValues("paused").Set(float64(h.Paused))
}

// setDistinctWorkers sets the number of workers known to be slow or fast. The control loop calls
// it with the load of the cell, runOwnership with 0 when the ownership ends.
func (m *metrics) setDistinctWorkers(slow, fast int) {
	m.distinctWorkers.WithLabelValues("slow").Set(float64(slow))
	m.distinctWorkers.WithLabelValues("fast").Set(float64(fast))
}

// handler returns the handler of the metrics endpoint. serveMetrics calls it
// once.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
