// Package storeserver serves the in-memory stand-in of the store (package cellstore) over
// the platform's protocol, so that real processes can use it. It can inject the store's
// faults into the calls of single VMs: refusals, silence, slow calls, lost answers, and
// appends that are executed late. Read Server first.
package storeserver

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/standin/cellstore"
)

// Call is what is called.
type Call string

// Calls of the store.
const (
	CallAppend Call = "append"
	CallRead   Call = "read"
	CallNewest Call = "newest"
)

// Fault is what happens to one call. The zero value is a call without a fault.
type Fault struct {
	// Delay is the time before the call is executed.
	Delay time.Duration
	// Refuse makes the call fail with status 503; it is not executed.
	Refuse bool
	// Silent leaves the call without an answer. It is not executed.
	Silent bool
	// LoseAnswer executes the call and leaves it without an answer.
	LoseAnswer bool
	// ExecuteAfter, if positive, executes an append only after this time; its caller gets
	// no answer.
	ExecuteAfter time.Duration
}

// FaultFunc returns the fault of a call that a VM makes for a topic. It must be safe for
// concurrent use.
type FaultFunc func(vm string, call Call, topic string) Fault

// Server serves one store to the VMs. It is safe for concurrent use.
type Server struct {
	Store *cellstore.Store

	mu       sync.Mutex
	faultFor FaultFunc
	// appended is called with each record that the store has appended.
	appended func(vm, topic string, record cell.KeyValue)
}

// New returns a server of a store without faults. appended, if not nil, is called with
// each record that a VM appends, after the store has accepted it.
func New(store *cellstore.Store, appended func(vm, topic string, record cell.KeyValue)) *Server {
	return &Server{Store: store, appended: appended}
}

// SetFault sets the function that returns the fault of each later call; nil injects none.
func (s *Server) SetFault(f FaultFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFor = f
}

// Handler returns the HTTP handler for the calls of one VM.
func (s *Server) Handler(vm string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", func(w http.ResponseWriter, r *http.Request) { s.serveAppend(vm, w, r) })
	mux.HandleFunc("GET /v1/log-read", func(w http.ResponseWriter, r *http.Request) { s.serveRead(vm, w, r) })
	mux.HandleFunc("GET /v1/log-newest", func(w http.ResponseWriter, r *http.Request) { s.serveNewest(vm, w, r) })
	return mux
}

// fault returns the fault of a call.
func (s *Server) fault(vm string, call Call, topic string) Fault {
	s.mu.Lock()
	f := s.faultFor
	s.mu.Unlock()
	if f == nil {
		return Fault{}
	}
	return f(vm, call, topic)
}

// begin applies the part of a fault that comes before the execution of a call. It returns
// false if the call is not to be executed; the response has then been written, if there is one.
func begin(f Fault, w http.ResponseWriter, r *http.Request) bool {
	if f.Silent {
		<-r.Context().Done()
		return false
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return false
		}
	}
	if f.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

// appendAnswer is the response to an append.
type appendAnswer struct {
	Offset   int64
	End      int64
	Reason   string `json:",omitempty"`
	Sequence int64  `json:",omitempty"`
}

func (s *Server) serveAppend(vm string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a, err := parseAppend(r, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := s.fault(vm, CallAppend, string(a.Topic))
	if f.ExecuteAfter > 0 {
		time.AfterFunc(f.ExecuteAfter, func() { _, _ = s.append(vm, a) })
		<-r.Context().Done()
		return
	}
	if !begin(f, w, r) {
		return
	}
	end, err := s.append(vm, a)
	if f.LoseAnswer {
		<-r.Context().Done()
		return
	}
	var conflict *cell.ConflictError
	var sequence *cell.SequenceError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, appendAnswer{Offset: end - int64(len(a.Records)), End: end})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, appendAnswer{End: conflict.End})
	case errors.Is(err, cell.ErrFenced):
		writeJSON(w, http.StatusConflict, appendAnswer{Reason: "fenced"})
	case errors.As(err, &sequence):
		writeJSON(w, http.StatusConflict, appendAnswer{Reason: "seq", Sequence: sequence.Expected})
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// append executes an append and reports its records. Those of an append whose
// answer is repeated are reported again.
func (s *Server) append(vm string, a cell.Append) (int64, error) {
	end, err := s.Store.Append(context.Background(), a)
	if err == nil && s.appended != nil {
		for _, r := range a.Records {
			s.appended(vm, string(a.Topic), r)
		}
	}
	return end, err
}

// parseAppend decodes the query and the records of an append.
func parseAppend(r *http.Request, body []byte) (cell.Append, error) {
	query := r.URL.Query()
	a := cell.Append{Topic: cell.Topic(query.Get("Topic")), ExpectedEnd: -1}
	var err error
	for _, p := range []struct {
		name  string
		value *int64
	}{{"At", &a.ExpectedEnd}, {"epoch", &a.Epoch}, {"Sequence", &a.Sequence}} {
		if text := query.Get(p.name); text != "" {
			if *p.value, err = strconv.ParseInt(text, 10, 64); err != nil {
				return a, err
			}
		}
	}
	for len(body) > 0 {
		if len(body) < 5 {
			return a, errors.New("a record is shorter than its header")
		}
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || int(body[4]) > n-1 {
			return a, errors.New("a record does not fit into the body")
		}
		content := body[5 : 4+n]
		keyLength := int(body[4])
		a.Records = append(a.Records, cell.KeyValue{Key: string(content[:keyLength]), Value: slices.Clone(content[keyLength:])})
		body = body[4+n:]
	}
	return a, nil
}

func (s *Server) serveRead(vm string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := cell.Topic(query.Get("Topic"))
	f := s.fault(vm, CallRead, string(topic))
	if !begin(f, w, r) {
		return
	}
	from, err := strconv.ParseInt(query.Get("From"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(query.Get("WaitMs"))
	batch, err := s.Store.Read(r.Context(), topic, from, time.Duration(waitMS)*time.Millisecond)
	if f.LoseAnswer {
		<-r.Context().Done()
		return
	}
	switch {
	case errors.Is(err, cell.ErrExpired):
		writeJSON(w, http.StatusGone, map[string]int64{"First": s.Store.First(topic)})
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		_, _ = w.Write(encodeBatch(batch, s.Store.First(topic), query.Get("MaxKb")))
	}
}

// defaultMaxKB is the limit of the records of one read, in kilobytes.
const defaultMaxKB = 1024

// encodeBatch encodes the response to a read: the end, the first retained offset, and as many
// records as fit, but at least one.
func encodeBatch(b cell.Batch, first int64, maxKB string) []byte {
	limit, err := strconv.Atoi(maxKB)
	if err != nil || limit <= 0 {
		limit = defaultMaxKB
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(b.End))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	header := len(out)
	for _, r := range b.Records {
		size := 1 + len(r.Key) + len(r.Value)
		if len(out) > header && len(out)+4+size > limit<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(size))
		out = append(out, byte(len(r.Key)))
		out = append(out, r.Key...)
		out = append(out, r.Value...)
	}
	return out
}

// pageItems is the number of newest records in one page.
const pageItems = 500

func (s *Server) serveNewest(vm string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := cell.Topic(query.Get("Topic"))
	f := s.fault(vm, CallNewest, string(topic))
	if !begin(f, w, r) {
		return
	}
	batch, err := s.Store.Newest(r.Context(), topic)
	if f.LoseAnswer {
		<-r.Context().Done()
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	type item struct {
		Key    string
		Value  string
		Offset int64
	}
	answer := struct {
		Items   []item `json:"items"`
		HasMore bool
		End     int64
	}{End: batch.End}
	after := query.Get("DependsOn")
	for _, kv := range batch.Records {
		if strings.Compare(kv.Key, after) <= 0 && after != "" {
			continue
		}
		if len(answer.Items) == pageItems {
			answer.HasMore = true
			break
		}
		answer.Items = append(answer.Items, item{Key: kv.Key, Value: base64.StdEncoding.EncodeToString(kv.Value)})
	}
	writeJSON(w, http.StatusOK, answer)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
