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

// metrics holds what the daemon exports, and the recent waits per class that
// tell whether targets are met.
type metrics struct {
	registry *prometheus.Registry
	wait     *prometheus.HistogramVec
	finish   *prometheus.HistogramVec
	answers  *prometheus.CounterVec
	messages *prometheus.CounterVec

	mu     sync.Mutex
	recent map[string]*recentWaits
}

// recentWindow is the period for which waits tell whether a target is met. The
// present and the last period count.
const recentWindow = time.Minute

// Bounds of a recorded wait.
const (
	minWaitMicros = 1
	maxWaitMicros = int64(24 * time.Hour / time.Microsecond)
	waitDigits    = 2
)

// recentWaits holds the waits of one class in the present and the last period.
type recentWaits struct {
	began           time.Time
	start, oldStart *hdrhistogram.Histogram
	end, oldEnd     *hdrhistogram.Histogram
}

var waitBuckets = prometheus.ExponentialBuckets(0.001, 2, 20)

func newMetrics(d *Daemon) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "gypsumwinch_wait_to_start_seconds",
			Help:    "Time from arrival to the first start, by whether much longer work ran beside it.",
			Buckets: waitBuckets,
		}, []string{"class", "beside_long"}),
		finish: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gypsumwinch_time_to_finish_seconds", Help: "Time from arrival to the final answer.", Buckets: waitBuckets,
		}, []string{"class"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumwinch_answers_total", Help: "Final answers to requests by status.",
		}, []string{"class", "status"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumwinch_control_messages_total", Help: "Control messages sent, by kind.",
		}, []string{"kind"}),
		recent: map[string]*recentWaits{},
	}
	m.registry.MustRegister(m.wait, m.finish, m.answers, m.messages, newViewCollector(d),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// sent counts a control message.
func (m *metrics) sent(kind string) {
	m.messages.WithLabelValues(kind).Inc()
}

func (m *metrics) waitToStart(class string, besideLong bool, wait time.Duration) {
	m.wait.WithLabelValues(class, strconv.FormatBool(besideLong)).Observe(wait.Seconds())
	m.record(class, func(r *recentWaits) *hdrhistogram.Histogram { return r.start }, wait)
}

func (m *metrics) requestFinished(class string, status structs.Status, took time.Duration) {
	m.answers.WithLabelValues(class, string(status)).Inc()
	if status != structs.StatusCompleted {
		return
	}
	m.finish.WithLabelValues(class).Observe(took.Seconds())
	m.record(class, func(r *recentWaits) *hdrhistogram.Histogram { return r.end }, took)
}

// taskStarted records the wait of one task of a job.
func (m *metrics) taskStarted(job *structs.Job) {
	m.waitToStart(job.Class, false, max(0, time.Since(job.AcceptedAt)))
}

func (m *metrics) record(class string, pick func(*recentWaits) *hdrhistogram.Histogram, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	micros := min(max(d.Microseconds(), minWaitMicros), maxWaitMicros)
	// The value is within the histogram's bounds.
	_ = pick(m.class(class)).RecordValue(micros)
}

// class returns the waits of a class with the present period begun. m.mu is
// held.
func (m *metrics) class(name string) *recentWaits {
	r := m.recent[name]
	now := time.Now()
	switch {
	case r == nil || now.Sub(r.began) >= 2*recentWindow:
		r = &recentWaits{began: now, start: newWaits(), oldStart: newWaits(), end: newWaits(), oldEnd: newWaits()}
		m.recent[name] = r
	case now.Sub(r.began) >= recentWindow:
		r.began = now
		r.oldStart, r.start = r.start, newWaits()
		r.oldEnd, r.end = r.end, newWaits()
	}
	return r
}

func newWaits() *hdrhistogram.Histogram {
	return hdrhistogram.New(minWaitMicros, maxWaitMicros, waitDigits)
}

// waits describes the recent waits of a class. count is zero if there are none.
type waits struct {
	count    int64
	p50, p99 time.Duration
	endP99   time.Duration
}

func (m *metrics) waits(class string) waits {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.class(class)
	start := newWaits()
	start.Merge(r.start)
	start.Merge(r.oldStart)
	end := newWaits()
	end.Merge(r.end)
	end.Merge(r.oldEnd)
	return waits{
		count:  start.TotalCount(),
		p50:    micros(start.ValueAtQuantile(50)),
		p99:    micros(start.ValueAtQuantile(99)),
		endP99: micros(end.ValueAtQuantile(99)),
	}
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// viewCollector exports gauges from the daemon's snapshot.
type viewCollector struct {
	d       *Daemon
	queued  *prometheus.Desc
	running *prometheus.Desc
	version *prometheus.Desc
	logUp   *prometheus.Desc
	owner   *prometheus.Desc
	packed  *prometheus.Desc
	bytes   *prometheus.Desc
}

func newViewCollector(d *Daemon) *viewCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("gypsumwinch_"+name, help, labels, nil)
	}
	return &viewCollector{
		d:       d,
		queued:  desc("queue_length", "Requests that wait.", "class"),
		running: desc("running", "Requests that run.", "class"),
		version: desc("config_version", "Version of the configuration in force, -1 if none."),
		logUp:   desc("log_reachable", "1 if the stream could be read lately.", "stream"),
		owner:   desc("owner", "1 if this VM owns its data centre."),
		bytes:   desc("control_bytes_total", "Bytes of control traffic.", "peer", "direction"),
		packed:  desc("worker_cpu_allocated_ratio", "Allocated part of the processors of the owner's workers."),
	}
}

// Describe implements prometheus.Collector.
func (v *viewCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{v.queued, v.running, v.version, v.logUp, v.owner, v.packed, v.bytes} {
		ch <- desc
	}
}

// Collect implements prometheus.Collector.
func (v *viewCollector) Collect(ch chan<- prometheus.Metric) {
	view := v.d.view.Load()
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	for _, class := range view.Requests.Classes {
		gauge(v.queued, float64(class.QueueLength), class.Class)
		gauge(v.running, float64(class.Running), class.Class)
	}
	for stream, up := range view.LogReachable {
		gauge(v.logUp, number(up), stream)
	}
	for peer, c := range map[string]*netcount.Counter{
		"platform": v.d.counters.platform, "worker": v.d.counters.workers, "vm": v.d.counters.peers,
	} {
		ch <- prometheus.MustNewConstMetric(v.bytes, prometheus.CounterValue, float64(c.Sent()), peer, "sent")
		ch <- prometheus.MustNewConstMetric(v.bytes, prometheus.CounterValue, float64(c.Received()), peer, "received")
	}
	gauge(v.version, float64(view.ConfigVersion))
	gauge(v.owner, number(view.Owning))
	if view.Owning {
		gauge(v.packed, view.CPUAllocated)
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
