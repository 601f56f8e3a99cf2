package operatorapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"
)

// fakeBackend records publications and returns fixed answers. With isUndecided set, it
// does not know the version in force.
type fakeBackend struct {
	Backend
	published   []PublishRequest
	response    PublishResponse
	isUndecided bool
}

func (f *fakeBackend) PublishConfig(_ context.Context, req PublishRequest) (PublishResponse, error) {
	f.published = append(f.published, req)
	return f.response, nil
}

func (f *fakeBackend) Config(context.Context) (Config, error) {
	return Config{Version: 3, LogVersionKnown: !f.isUndecided}, nil
}

func (f *fakeBackend) ExplainJob(_ context.Context, id string) (Explanation, error) {
	return Explanation{}, &Error{Code: http.StatusNotFound, ErrorBody: ErrorBody{Message: "no such job", Field: "id", Value: id}}
}

func (f *fakeBackend) Status(context.Context) (Status, error) {
	return Status{VM: "e1"}, nil
}

// testYAML is a valid configuration.
const testYAML = "classes: [{name: a, start_target: 1s, finish_target: 2s}]"

// startServer serves the API with the given backend until the test ends, and returns
// its address.
func startServer(t *testing.T, backend Backend) string {
	e := echo.New()
	Register(e, backend)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a client that returns a refused publication as an error or as
// accepted. Status 409 comes with a refusal on the log and also with an ErrorBody, for a
// publication that was not appended.
func TestPublishRefused(t *testing.T) {
	is := is.New(t)
	backend := &fakeBackend{response: PublishResponse{Status: PublishRefused, Version: 7, Reason: "r"}}
	client := NewClient([]string{startServer(t, backend)}, time.Minute)
	req := PublishRequest{ID: ulid.Make().String(), Base: 3, YAML: testYAML, Who: "w", Why: "y"}
	resp, err := client.PublishConfig(t.Context(), req)
	is.NoErr(err)
	is.Equal(resp, backend.response)
	is.Equal(backend.published, []PublishRequest{req})
}

// Guards against a faulty publication that is passed to the backend and so reaches
// the log, and against an error that does not name the field, value and bound. Each
// case changes one field of a valid publication or the state of the backend.
func TestPublishInvalid(t *testing.T) {
	is := is.New(t)
	backend := &fakeBackend{}
	client := NewClient([]string{startServer(t, backend)}, time.Minute)
	rejectedWith := func(change func(*PublishRequest)) ErrorBody {
		req := PublishRequest{ID: ulid.Make().String(), Base: 3, YAML: testYAML, Who: "w", Why: "y"}
		change(&req)
		_, err := client.PublishConfig(t.Context(), req)
		var failure *Error
		is.True(errors.As(err, &failure))
		is.True(failure.Code == http.StatusBadRequest || failure.Code == http.StatusConflict)
		is.Equal(len(backend.published), 0)
		return failure.ErrorBody
	}
	is.Equal(rejectedWith(func(r *PublishRequest) { r.ID = "x" }),
		ErrorBody{Message: "id is not valid", Field: "id", Value: "x", Bound: "a ULID"})
	is.Equal(rejectedWith(func(r *PublishRequest) { r.Who = "" }).Field, "who")
	is.Equal(rejectedWith(func(r *PublishRequest) { r.Base = -7 }).Field, "base")
	is.Equal(rejectedWith(func(r *PublishRequest) { r.YAML = "classes: []" }).Field, "yaml")
	is.Equal(rejectedWith(func(r *PublishRequest) { r.YAML += strings.Repeat("#", MaxYAMLBytes) }).Field, "yaml")
	// An earlier publication with an old id may no longer be on the log.
	is.Equal(rejectedWith(func(r *PublishRequest) { r.ID = "01ARZ3NDEKTSV4RRFFQ69G5FAV" }).Field, "id")
	// A copy could be accepted once the version in force has reached the base.
	is.Equal(rejectedWith(func(r *PublishRequest) { r.Base = 4 }).Field, "base")
	// A reset would overwrite a known configuration.
	is.Equal(rejectedWith(func(r *PublishRequest) { r.Reset = true }).Field, "reset")
	// Without a known version in force, a publication would stay undecided.
	backend.isUndecided = true
	is.Equal(rejectedWith(func(*PublishRequest) {}).Field, "reset")
}

// Guards against a client that does not try the next address after a VM refuses the
// connection, and against another error than ErrNotConnected if no VM is left.
func TestClientTriesNextAddress(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closedAddr := listener.Addr().String()
	is.NoErr(listener.Close())
	client := NewClient([]string{closedAddr, startServer(t, &fakeBackend{})}, time.Minute)
	status, err := client.Status(t.Context())
	is.NoErr(err)
	is.Equal(status.VM, "e1")

	_, err = NewClient([]string{closedAddr}, time.Minute).Status(t.Context())
	is.True(errors.Is(err, ErrNotConnected))
}

// Guards against a client that treats a request as not sent although only its response
// was lost, and that then sends it to the next VM. The first server closes the
// connection instead of answering.
func TestAnswerLost(t *testing.T) {
	is := is.New(t)
	closingServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer closingServer.Close()
	backend := &fakeBackend{}
	client := NewClient([]string{strings.TrimPrefix(closingServer.URL, "http://"), startServer(t, backend)}, time.Minute)
	_, err := client.PublishConfig(t.Context(), PublishRequest{})
	is.True(errors.Is(err, ErrAnswerLost))
	is.Equal(len(backend.published), 0)
}
