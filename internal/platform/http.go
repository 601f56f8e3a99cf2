package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"gypsumwinch/internal/httpjson"
	"gypsumwinch/internal/netcount"
	"gypsumwinch/internal/structs"
)

// AppendRequest is the body of POST /v1/streams/{stream}/records.
type AppendRequest struct {
	Records []json.RawMessage `json:"records"`
}

// AppendAnswer is the answer to POST /v1/streams/{stream}/records. First is the offset
// of the first appended record.
type AppendAnswer struct {
	First int64 `json:"first"`
}

// ReadAnswer is the answer to GET /v1/streams/{stream}/records. Its fields are the
// results of Log.Read.
type ReadAnswer struct {
	Entries []Entry `json:"entries"`
	Next    int64   `json:"next"`
	AtEnd   bool    `json:"end"`
}

// BoundsAnswer is the answer to GET /v1/streams/{stream}/bounds. Its fields are the
// results of Log.Bounds.
type BoundsAnswer struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// ListAnswer is the answer to GET /v1/vms.
type ListAnswer struct {
	VMs []structs.VM `json:"vms"`
}

// UnmarshalJSON implements json.Unmarshaler. It skips entries that describe no VM, since one
// of them must not keep the others from being read.
func (a *ListAnswer) UnmarshalJSON(data []byte) error {
	var answer struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	a.VMs = make([]structs.VM, 0, len(answer.VMs))
	for _, raw := range answer.VMs {
		var vm structs.VM
		if json.Unmarshal(raw, &vm) == nil && vm.Validate() == nil {
			a.VMs = append(a.VMs, vm)
		}
	}
	return nil
}

// HTTPOptions configures HTTPLog and HTTPVMList.
type HTTPOptions struct {
	// Name identifies the calling VM.
	Name string
	// Timeout limits the time of a call; a read may take its wait in addition. Zero
	// means httpjson.DefaultTimeanswer.
	Timeout time.Duration
	// Connections limits the connections to the service. Each stream that is followed
	// occupies one for a long poll. Zero means 16.
	Connections int
	// Count, if not nil, counts the bytes sent and received.
	Count *netcount.Counter
}

const defaultMaxConns = 16

// newClient returns an HTTP client with the given options. The constructors of HTTPLog
// and HTTPVMList call it.
func (o HTTPOptions) newClient() *httpjson.Client {
	maxConns := o.Connections
	if maxConns <= 0 {
		maxConns = defaultMaxConns
	}
	return httpjson.New(httpjson.Options{Name: o.Name, Timeout: o.Timeout, ConnsPerHost: maxConns, Count: o.Count})
}

// HTTPLog is the HTTP client of the log service. It implements Log. Its errors are
// *structs.Error.
type HTTPLog struct {
	addr   string
	client *httpjson.Client
}

// NewHTTPLog returns a client of the log service at addr (host:port).
func NewHTTPLog(addr string, opts HTTPOptions) *HTTPLog {
	return &HTTPLog{addr: addr, client: opts.newClient()}
}

// Append implements Log. It is called to append the records of a stream in batches.
func (l *HTTPLog) Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error) {
	var answer AppendAnswer
	_, err := l.client.Do(ctx, httpjson.Call{
		Step: "append to stream " + stream, Method: http.MethodPost, Addr: l.addr,
		Path: streamPath(stream, "records"),
		In:   AppendRequest{Records: records}, Out: &answer,
	})
	return answer.First, err
}

// Read implements Log. It is called in a loop to follow a stream; after an error, next is
// the offset that was to be read.
func (l *HTTPLog) Read(ctx context.Context, stream string, from int64, maxEntries int, wait time.Duration) ([]Entry, int64, bool, error) {
	var answer ReadAnswer
	_, err := l.client.Do(ctx, httpjson.Call{
		Step: "read stream " + stream, Method: http.MethodGet, Addr: l.addr,
		Path: streamPath(stream, "records") + fmt.Sprintf("?from=%d&max=%d&wait_ms=%d", from, maxEntries, wait.Milliseconds()),
		Out:  &answer, Extra: wait,
	})
	if err != nil {
		return nil, from, false, err
	}
	return answer.Entries, answer.Next, answer.AtEnd, nil
}

// Bounds implements Log. Only tests call it.
func (l *HTTPLog) Bounds(ctx context.Context, stream string) (int64, int64, error) {
	var answer BoundsAnswer
	_, err := l.client.Do(ctx, httpjson.Call{
		Step: "read bounds of stream " + stream, Method: http.MethodGet, Addr: l.addr,
		Path: streamPath(stream, "bounds"), Out: &answer,
	})
	return answer.First, answer.Next, err
}

// streamPath returns the URL path of a resource of a stream, records or bounds.
func streamPath(stream, resource string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/" + resource
}

// HTTPVMList is the HTTP client of the list of VMs. It implements VMList. It keeps the
// last list with its entity tag, so that the list is transferred only after a change:
// that of a large cell has some hundred kilobytes.
type HTTPVMList struct {
	addr   string
	client *httpjson.Client

	mu   sync.Mutex
	etag string
	vms  []structs.VM
}

// NewHTTPVMList returns a client of the list of VMs at addr (host:port).
func NewHTTPVMList(addr string, opts HTTPOptions) *HTTPVMList {
	return &HTTPVMList{addr: addr, client: opts.newClient()}
}

// List implements VMList. It is called periodically to notice changes. Concurrent calls
// run one after the other. If the list has not changed, it returns the same slice as
// before.
func (l *HTTPVMList) List(ctx context.Context) ([]structs.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var answer ListAnswer
	etag := l.etag
	status, err := l.client.Do(ctx, httpjson.Call{
		Step: "list VMs", Method: http.MethodGet, Addr: l.addr, Path: "/v1/vms", Out: &answer, ETag: &etag,
	})
	if err != nil {
		return nil, err
	}
	if status != http.StatusNotModified {
		l.etag = etag
		l.vms = answer.VMs
	}
	return l.vms, nil
}

var (
	_ Log    = (*HTTPLog)(nil)
	_ VMList = (*HTTPVMList)(nil)
)
