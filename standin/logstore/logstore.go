// Package logstore is a stand-in for the platform's log service: an HTTP server with
// named streams, appends and long-polling reads, which keeps all data in memory. It
// is meant for tests and trials and is not durable. Read Log first.
package logstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"gypsumwinch/internal/httpjson"
	"gypsumwinch/internal/platform"
	"gypsumwinch/standin/control"
)

// Options limit how many entries each stream retains and for how long. Zero means
// no limit.
type Options struct {
	RetainAge   time.Duration
	RetainCount int
	// Now is the clock for the times and ages of entries. Nil means time.Now.
	Now func() time.Time
}

// Faults are the faults that the log injects, as set on the control endpoint.
type Faults struct {
	control.Network
	// LoseAnswers is the number of later appends that are executed but whose
	// connection is closed without an answer. -1 means all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// RefuseAppends answers appends with status 503 and stores nothing.
	RefuseAppends bool `json:"refuse_appends,omitempty"`
	// RetainCount overrides Options.RetainCount if positive.
	RetainCount int `json:"retain_count,omitempty"`
}

// Observed is what the log reports on the control endpoint: its streams and the
// calls since its start.
type Observed struct {
	Streams map[string]StreamObserved `json:"streams"`
	// Appends and Reads count calls per client, by httpjson.HeaderClient. Refused
	// appends don't count.
	Appends map[string]int `json:"appends"`
	Reads   map[string]int `json:"reads"`
	// LostAnswers counts appends whose answer was lost.
	LostAnswers int `json:"lost_answers"`
}

// StreamObserved holds the offsets of the first retained entry and of the next
// append of a stream.
type StreamObserved struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// stream holds the retained entries of one stream, guarded by Log.mu.
type stream struct {
	firstOffset int64
	entries     []platform.Entry
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func (s *stream) endOffset() int64 {
	return s.firstOffset + int64(len(s.entries))
}

// Log is the stand-in for the log service. It is safe for concurrent use.
type Log struct {
	opts Options

	mu              sync.Mutex
	faults          Faults
	streams         map[string]*stream
	appendsByClient map[string]int
	readsByClient   map[string]int
	lostAnswers     int
}

var _ control.Node = (*Log)(nil)

// New returns an empty log without faults.
func New(opts Options) *Log {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Log{
		opts:            opts,
		streams:         make(map[string]*stream),
		appendsByClient: make(map[string]int),
		readsByClient:   make(map[string]int),
	}
}

// Handler implements control.Node. It serves the protocol of the log service.
func (l *Log) Handler() http.Handler {
	e := control.NewEcho(func() control.Network {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.faults.Network
	})
	e.POST("/v1/streams/:stream/records", l.handleAppend)
	e.GET("/v1/streams/:stream/records", l.handleRead)
	e.GET("/v1/streams/:stream/bounds", l.handleBounds)
	return e
}

// SetFaults implements control.Node. The data is a Faults object.
func (l *Log) SetFaults(data json.RawMessage) error {
	var f Faults
	if err := json.Unmarshal(data, &f); err != nil {
		return eris.Wrap(err, "decode faults of the log")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	return nil
}

// Faults implements control.Node. It returns a Faults value, with LoseAnswers
// reduced by the answers already lost.
func (l *Log) Faults() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Observed implements control.Node. It returns an Observed value.
func (l *Log) Observed() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := Observed{
		Streams: make(map[string]StreamObserved),
		Appends: make(map[string]int), Reads: make(map[string]int), LostAnswers: l.lostAnswers,
	}
	for name, s := range l.streams {
		o.Streams[name] = StreamObserved{First: s.firstOffset, Next: s.endOffset()}
	}
	for client, n := range l.appendsByClient {
		o.Appends[client] = n
	}
	for client, n := range l.readsByClient {
		o.Reads[client] = n
	}
	return o
}

// Entries returns a copy of all retained entries of a stream.
func (l *Log) Entries(name string) []platform.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Entry(nil), l.stream(name).entries...)
}

// stream returns a stream and creates it on first use. l.mu is locked by the caller.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append adds records, all or none, and returns the offset of the first one. It
// wakes waiting reads. It injects no faults.
func (l *Log) Append(name string, records []json.RawMessage) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.endOffset()
	now := l.opts.Now()
	for i, r := range records {
		s.entries = append(s.entries, platform.Entry{Offset: first + int64(i), Time: now, Data: r})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	l.applyRetention(s)
	return first
}

// applyRetention drops the oldest entries of a stream that exceed the count or age
// limit, at each append, read and query of the bounds. l.mu is locked by the caller.
func (l *Log) applyRetention(s *stream) {
	count := l.opts.RetainCount
	if l.faults.RetainCount > 0 {
		count = l.faults.RetainCount
	}
	drop := 0
	if count > 0 {
		drop = max(len(s.entries)-count, 0)
	}
	if l.opts.RetainAge > 0 {
		cutoff := l.opts.Now().Add(-l.opts.RetainAge)
		for drop < len(s.entries) && s.entries[drop].Time.Before(cutoff) {
			drop++
		}
	}
	if drop > 0 {
		s.firstOffset += int64(drop)
		s.entries = append([]platform.Entry(nil), s.entries[drop:]...)
	}
}

// handleAppend serves POST records. It injects RefuseAppends before and LoseAnswers
// after the append.
func (l *Log) handleAppend(c echo.Context) error {
	var in platform.AppendRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	if len(in.Records) == 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "no records")
	}
	l.mu.Lock()
	refuse := l.faults.RefuseAppends
	l.mu.Unlock()
	if refuse {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "appends are refused")
	}
	first := l.Append(c.Param("stream"), in.Records)
	if l.recordAppend(c.Request().Header.Get(httpjson.HeaderClient)) {
		control.Abort()
	}
	return c.JSON(http.StatusOK, platform.AppendAnswer{First: first})
}

// recordAppend counts an executed append of a client and reports whether the
// LoseAnswers fault applies to it; if so, it counts the lost answer.
func (l *Log) recordAppend(client string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendsByClient[client]++
	if l.faults.LoseAnswers == 0 {
		return false
	}
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
	}
	l.lostAnswers++
	return true
}

// handleRead serves GET records. It waits up to wait_ms for an entry at or after the
// offset from and returns at most max entries.
func (l *Log) handleRead(c echo.Context) error {
	from, err := intQueryParam(c, "from")
	if err != nil {
		return err
	}
	limit, err := intQueryParam(c, "max")
	if err != nil {
		return err
	}
	waitMS, err := intQueryParam(c, "wait_ms")
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.readsByClient[c.Request().Header.Get(httpjson.HeaderClient)]++
	l.mu.Unlock()
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		answer, changed := l.read(c.Param("stream"), from, int(limit))
		if len(answer.Entries) > 0 || waitMS <= 0 {
			return l.sendReadAnswer(c, answer)
		}
		select {
		case <-changed:
		case <-timer.C:
			return l.sendReadAnswer(c, answer)
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
}

// sendReadAnswer sends the answer of handleRead, or closes the connection if a
// network fault for the client was set while the read waited.
func (l *Log) sendReadAnswer(c echo.Context, answer platform.ReadAnswer) error {
	l.mu.Lock()
	refuse := l.faults.Refuses(c.Request().Header.Get(httpjson.HeaderClient))
	l.mu.Unlock()
	if refuse {
		control.Abort()
	}
	return c.JSON(http.StatusOK, answer)
}

// read returns the retained entries from an offset on, at most limit if that is
// positive, and a channel that is closed at the next append. handleRead calls it
// before and after each wait.
func (l *Log) read(name string, from int64, limit int) (platform.ReadAnswer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.applyRetention(s)
	start := min(max(from, s.firstOffset), s.endOffset())
	end := s.endOffset()
	if limit > 0 {
		end = min(end, start+int64(limit))
	}
	entries := append([]platform.Entry{}, s.entries[start-s.firstOffset:end-s.firstOffset]...)
	return platform.ReadAnswer{Entries: entries, Next: end, AtEnd: end == s.endOffset()}, s.changed
}

// handleBounds serves GET bounds: the offsets of the first retained entry and of the
// next append.
func (l *Log) handleBounds(c echo.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(c.Param("stream"))
	l.applyRetention(s)
	return c.JSON(http.StatusOK, platform.BoundsAnswer{First: s.firstOffset, Next: s.endOffset()})
}

// intQueryParam returns an integer parameter of the query, or an error with status
// 400 if it is missing or malformed. handleRead calls it.
func intQueryParam(c echo.Context, name string) (int64, error) {
	n, err := strconv.ParseInt(c.QueryParam(name), 10, 64)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "parameter "+name+": "+err.Error())
	}
	return n, nil
}
