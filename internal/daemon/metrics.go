package daemon

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gypsumwinch/internal/netcount"
	"gypsumwinch/internal/structs"
)

// counters count the bytes of control traffic by the kind of peer.
type counters struct {
	platform *netcount.Counter
	workers  *netcount.Counter
	peers    *netcount.Counter
}

func newCounters() counters {
	return counters{platform: &netcount.Counter{}, workers: &netcount.Counter{}, peers: &netcount.Counter{}}
}

// metrics holds the exported metrics, and the recent waits of each class, which
// show whether the class meets its targets.
type metrics struct {
	registry     *prometheus.Registry
	waitToStart  *prometheus.HistogramVec
	timeToFinish *prometheus.HistogramVec
	answers      *prometheus.CounterVec
	messages     *prometheus.CounterVec

	mu          sync.Mutex
	recentWaits map[string]*recentWaits
}

// recentWaitsInterval is the length of a period of recent waits. The current
// and the previous period count for a target.
const recentWaitsInterval = time.Minute

// Bounds and precision of the histograms of recent waits.
const (
	minWaitMicros         = 1
	maxWaitMicros         = int64(24 * time.Hour / time.Microsecond)
	waitSignificantDigits = 2
)

// recentWaits holds the waits to start and times to finish of one class in the
// current and the previous period.
type recentWaits struct {
	periodStart                   time.Time
	currentStart, previousStart   *hdrhistogram.Histogram
	currentFinish, previousFinish *hdrhistogram.Histogram
}

var waitBuckets = prometheus.ExponentialBuckets(0.001, 2, 20)

// newMetrics returns the registered metrics of a daemon. New calls it once.
func newMetrics(d *Daemon) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		waitToStart: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "gypsumwinch_wait_to_start_seconds",
			Help:    "Time from arrival to the first start, by whether much longer work ran beside it.",
			Buckets: waitBuckets,
		}, []string{"class", "beside_long"}),
		timeToFinish: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gypsumwinch_time_to_finish_seconds", Help: "Time from arrival to the final answer.", Buckets: waitBuckets,
		}, []string{"class"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumwinch_answers_total", Help: "Final answers to requests by status.",
		}, []string{"class", "status"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumwinch_control_messages_total", Help: "Control messages sent, by kind.",
		}, []string{"kind"}),
		recentWaits: map[string]*recentWaits{},
	}
	m.registry.MustRegister(m.waitToStart, m.timeToFinish, m.answers, m.messages, newViewCollector(d),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// countMessage counts a control message of the given kind.
func (m *metrics) countMessage(kind string) {
	m.messages.WithLabelValues(kind).Inc()
}

// recordWaitToStart records the time from the arrival of a request, or the
// acceptance of a job, to its start. The control loop calls it when the first
// attempt of a request is sent and, through recordTaskStarted, when a worker
// has confirmed the start of a task.
func (m *metrics) recordWaitToStart(class string, besideLong bool, wait time.Duration) {
	m.waitToStart.WithLabelValues(class, strconv.FormatBool(besideLong)).Observe(wait.Seconds())
	m.recordWait(class, func(r *recentWaits) *hdrhistogram.Histogram { return r.currentStart }, wait)
}

// recordRequestFinished counts the final answer to a request and, if the
// request completed, records its time to finish. finishRequest calls it on the
// control loop.
func (m *metrics) recordRequestFinished(class string, status structs.Status, took time.Duration) {
	m.answers.WithLabelValues(class, string(status)).Inc()
	if status != structs.StatusCompleted {
		return
	}
	m.timeToFinish.WithLabelValues(class).Observe(took.Seconds())
	m.recordWait(class, func(r *recentWaits) *hdrhistogram.Histogram { return r.currentFinish }, took)
}

// recordTaskStarted records the wait to start of one task of a job.
func (m *metrics) recordTaskStarted(job *structs.Job) {
	m.recordWaitToStart(job.Class, false, max(0, time.Since(job.AcceptedAt)))
}

// recordWait adds a duration to one of the current histograms of a class, which
// pick selects. recordWaitToStart and recordRequestFinished call it.
func (m *metrics) recordWait(class string, pick func(*recentWaits) *hdrhistogram.Histogram, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	micros := min(max(d.Microseconds(), minWaitMicros), maxWaitMicros)
	// The value is clamped to the bounds of the histogram, so that recording it
	// cannot fail.
	_ = pick(m.currentWaits(class)).RecordValue(micros)
}

// currentWaits returns the waits of a class and begins a new period if one is
// due. The caller holds m.mu. recordWait and summarize call it.
func (m *metrics) currentWaits(name string) *recentWaits {
	r := m.recentWaits[name]
	now := time.Now()
	switch {
	case r == nil || now.Sub(r.periodStart) >= 2*recentWaitsInterval:
		r = &recentWaits{periodStart: now, currentStart: newWaits(), previousStart: newWaits(), currentFinish: newWaits(), previousFinish: newWaits()}
		m.recentWaits[name] = r
	case now.Sub(r.periodStart) >= recentWaitsInterval:
		r.periodStart = now
		r.previousStart, r.currentStart = r.currentStart, newWaits()
		r.previousFinish, r.currentFinish = r.currentFinish, newWaits()
	}
	return r
}

func newWaits() *hdrhistogram.Histogram {
	return hdrhistogram.New(minWaitMicros, maxWaitMicros, waitSignificantDigits)
}

// waitSummary describes the recent waits of a class. count is zero if there are
// none.
type waitSummary struct {
	count     int64
	p50, p99  time.Duration
	finishP99 time.Duration
}

// summarize returns the recent waits of a class over the current and the
// previous period. classState calls it on the control loop when an operator
// requests the classes or a handover.
func (m *metrics) summarize(class string) waitSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.currentWaits(class)
	start := newWaits()
	start.Merge(r.currentStart)
	start.Merge(r.previousStart)
	end := newWaits()
	end.Merge(r.currentFinish)
	end.Merge(r.previousFinish)
	return waitSummary{
		count:     start.TotalCount(),
		p50:       durationFromMicros(start.ValueAtQuantile(50)),
		p99:       durationFromMicros(start.ValueAtQuantile(99)),
		finishP99: durationFromMicros(end.ValueAtQuantile(99)),
	}
}

func durationFromMicros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// viewCollector exports gauges from the daemon's current View.
type viewCollector struct {
	d               *Daemon
	queueLength     *prometheus.Desc
	runningRequests *prometheus.Desc
	configVersion   *prometheus.Desc
	logReachable    *prometheus.Desc
	isOwner         *prometheus.Desc
	cpuAllocated    *prometheus.Desc
	controlBytes    *prometheus.Desc
}

// newViewCollector returns the collector of the gauges that come from the
// daemon's view. newMetrics calls it once.
func newViewCollector(d *Daemon) *viewCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("gypsumwinch_"+name, help, labels, nil)
	}
	return &viewCollector{
		d:               d,
		queueLength:     desc("queue_length", "Requests that wait.", "class"),
		runningRequests: desc("running", "Requests that run.", "class"),
		configVersion:   desc("config_version", "Version of the configuration in force, -1 if none."),
		logReachable:    desc("log_reachable", "1 if the stream could be read lately.", "stream"),
		isOwner:         desc("owner", "1 if this VM owns its data centre."),
		controlBytes:    desc("control_bytes_total", "Bytes of control traffic.", "peer", "direction"),
		cpuAllocated:    desc("worker_cpu_allocated_ratio", "Allocated part of the processors of the owner's workers."),
	}
}

// Describe implements prometheus.Collector. The registry calls it when
// newMetrics registers the collector.
func (v *viewCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{v.queueLength, v.runningRequests, v.configVersion, v.logReachable, v.isOwner, v.cpuAllocated, v.controlBytes} {
		ch <- desc
	}
}

// Collect implements prometheus.Collector. The registry calls it for each
// request for /metrics, not on the control loop.
func (v *viewCollector) Collect(ch chan<- prometheus.Metric) {
	view := v.d.view.Load()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	for _, class := range view.Requests.Classes {
		gauge(v.queueLength, float64(class.QueueLength), class.Class)
		gauge(v.runningRequests, float64(class.Running), class.Class)
	}
	for stream, up := range view.LogReachable {
		gauge(v.logReachable, boolToFloat(up), stream)
	}
	for peer, c := range map[string]*netcount.Counter{
		"platform": v.d.counters.platform, "worker": v.d.counters.workers, "vm": v.d.counters.peers,
	} {
		ch <- prometheus.MustNewConstMetric(v.controlBytes, prometheus.CounterValue, float64(c.Sent()), peer, "sent")
		ch <- prometheus.MustNewConstMetric(v.controlBytes, prometheus.CounterValue, float64(c.Received()), peer, "received")
	}
	gauge(v.configVersion, float64(view.ConfigVersion))
	gauge(v.isOwner, boolToFloat(view.Owning))
	if view.Owning {
		gauge(v.cpuAllocated, view.CPUAllocated)
	}
}

// boolToFloat returns the value of a gauge that is 1 or 0. Collect calls it.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
