// Package logstore is a stand-in for the platform's log service.
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

// Options bound what the log keeps. Zero means no bound.
type Options struct {
	RetainAge   time.Duration
	RetainCount int
	// Now is the log's clock. Nil means time.Now.
	Now func() time.Time
}

// Faults are the faults of the log.
type Faults struct {
	control.Network
	// LoseAnswers is the number of appends that take effect but whose answer
	// is lost. -1 means all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// RefuseAppends answers appends with 503 and writes nothing.
	RefuseAppends bool `json:"refuse_appends,omitempty"`
	// RetainCount overrides Options.RetainCount, if set.
	RetainCount int `json:"retain_count,omitempty"`
}

// Observed is what the log saw.
type Observed struct {
	Streams map[string]StreamObserved `json:"streams"`
	// Appends and Reads count calls per client.
	Appends map[string]int `json:"appends"`
	Reads   map[string]int `json:"reads"`
	// LostAnswers counts appends whose answer was lost.
	LostAnswers int `json:"lost_answers"`
}

// StreamObserved is the state of one stream.
type StreamObserved struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

type stream struct {
	first   int64
	entries []platform.Entry
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func (s *stream) next() int64 {
	return s.first + int64(len(s.entries))
}

// Log is the stand-in. It is safe for concurrent use.
type Log struct {
	opts Options

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	appends map[string]int
	reads   map[string]int
	lost    int
}

var _ control.Node = (*Log)(nil)

// New returns an empty log.
func New(opts Options) *Log {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Log{
		opts:    opts,
		streams: make(map[string]*stream),
		appends: make(map[string]int),
		reads:   make(map[string]int),
	}
}

// Handler implements control.Node.
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

// SetFaults implements control.Node.
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

// Faults implements control.Node.
func (l *Log) Faults() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Observed implements control.Node.
func (l *Log) Observed() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := Observed{
		Streams: make(map[string]StreamObserved),
		Appends: make(map[string]int), Reads: make(map[string]int), LostAnswers: l.lost,
	}
	for name, s := range l.streams {
		o.Streams[name] = StreamObserved{First: s.first, Next: s.next()}
	}
	for client, n := range l.appends {
		o.Appends[client] = n
	}
	for client, n := range l.reads {
		o.Reads[client] = n
	}
	return o
}

// Entries returns all kept entries of a stream.
func (l *Log) Entries(name string) []platform.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Entry(nil), l.stream(name).entries...)
}

// stream returns a stream, which exists from its first use. l.mu is held.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append adds records, all or none, and returns the first offset.
func (l *Log) Append(name string, records []json.RawMessage) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.next()
	now := l.opts.Now()
	for i, r := range records {
		s.entries = append(s.entries, platform.Entry{Offset: first + int64(i), Time: now, Data: r})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	l.retain(s)
	return first
}

// retain drops old entries. l.mu is held.
func (l *Log) retain(s *stream) {
	count := l.opts.RetainCount
	if l.faults.RetainCount > 0 {
		count = l.faults.RetainCount
	}
	drop := 0
	if count > 0 {
		drop = max(len(s.entries)-count, 0)
	}
	if l.opts.RetainAge > 0 {
		limit := l.opts.Now().Add(-l.opts.RetainAge)
		for drop < len(s.entries) && s.entries[drop].Time.Before(limit) {
			drop++
		}
	}
	if drop > 0 {
		s.first += int64(drop)
		s.entries = append([]platform.Entry(nil), s.entries[drop:]...)
	}
}

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
	if l.losesAnswer(c.Request().Header.Get(httpjson.HeaderClient)) {
		control.Abort()
	}
	return c.JSON(http.StatusOK, platform.AppendAnswer{First: first})
}

func (l *Log) losesAnswer(client string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends[client]++
	if l.faults.LoseAnswers == 0 {
		return false
	}
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
	}
	l.lost++
	return true
}

func (l *Log) handleRead(c echo.Context) error {
	from, err := intParam(c, "from")
	if err != nil {
		return err
	}
	limit, err := intParam(c, "max")
	if err != nil {
		return err
	}
	waitMS, err := intParam(c, "wait_ms")
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.reads[c.Request().Header.Get(httpjson.HeaderClient)]++
	l.mu.Unlock()
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		answer, changed := l.read(c.Param("stream"), from, int(limit))
		if len(answer.Entries) > 0 || waitMS <= 0 {
			return l.answerRead(c, answer)
		}
		select {
		case <-changed:
		case <-timer.C:
			return l.answerRead(c, answer)
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
}

// answerRead sends the answer unless a fault began while the read waited.
func (l *Log) answerRead(c echo.Context, answer platform.ReadAnswer) error {
	l.mu.Lock()
	refuse := l.faults.Refuses(c.Request().Header.Get(httpjson.HeaderClient))
	l.mu.Unlock()
	if refuse {
		control.Abort()
	}
	return c.JSON(http.StatusOK, answer)
}

func (l *Log) read(name string, from int64, limit int) (platform.ReadAnswer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.retain(s)
	start := min(max(from, s.first), s.next())
	end := s.next()
	if limit > 0 {
		end = min(end, start+int64(limit))
	}
	entries := append([]platform.Entry{}, s.entries[start-s.first:end-s.first]...)
	return platform.ReadAnswer{Entries: entries, Next: end, AtEnd: end == s.next()}, s.changed
}

func (l *Log) handleBounds(c echo.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(c.Param("stream"))
	l.retain(s)
	return c.JSON(http.StatusOK, platform.BoundsAnswer{First: s.first, Next: s.next()})
}

func intParam(c echo.Context, name string) (int64, error) {
	n, err := strconv.ParseInt(c.QueryParam(name), 10, 64)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "parameter "+name+": "+err.Error())
	}
	return n, nil
}
