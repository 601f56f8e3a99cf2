package operatorapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/clusterconfig"
	"gypsumwinch/internal/records"
)

// Limits on requests.
const (
	// MaxYAMLBytes bounds the size of a configuration. It is far above the size of
	// 67 teams and their classes, and keeps a record within the size that one append
	// to the log should have.
	MaxYAMLBytes = 256 << 10
	// MaxTextBytes bounds each of the fields who and why.
	MaxTextBytes = 1 << 10
	// MaxList bounds the limit parameter, the number of entries in one answer.
	MaxList = 1000
	// DefaultList is the number of entries if the request has no limit parameter.
	DefaultList = 50
)

// Backend answers the requests of operators. The daemon implements it. An error that
// is an *Error is sent with its status and body, any other one with status 500. The
// methods are called from many goroutines at once.
type Backend interface {
	// Config returns the configuration in force on this VM.
	Config(ctx context.Context) (Config, error)
	// ConfigHistory returns the publications that match query, newest first.
	ConfigHistory(ctx context.Context, query HistoryQuery) (History, error)
	// PublishConfig appends a publication, which has been checked, to the log and
	// waits until it is decided. If the decision cannot be determined, the status is
	// PublishUnknown.
	PublishConfig(ctx context.Context, req PublishRequest) (PublishResponse, error)
	// Audit returns at most limit entries of the audit trail, newest first.
	Audit(ctx context.Context, limit int) (Audit, error)
	Classes(ctx context.Context) (Classes, error)
	Workers(ctx context.Context) (Workers, error)
	VMs(ctx context.Context) (VMs, error)
	Status(ctx context.Context) (Status, error)
	// ExplainJob returns why the tasks of a job wait. For an unknown job it returns
	// an *Error with status 404.
	ExplainJob(ctx context.Context, id string) (Explanation, error)
	Handover(ctx context.Context) (Handover, error)
}

// Register adds the routes for operators to e; their paths start with /v1. The daemon
// calls it once at its start.
func Register(e *echo.Echo, backend Backend) {
	h := &handlers{backend: backend}
	e.GET("/v1/config", jsonHandler(func(c echo.Context) (any, error) {
		return backend.Config(c.Request().Context())
	}))
	e.GET("/v1/config/history", h.getHistory)
	e.POST("/v1/config", h.publishConfig)
	e.GET("/v1/audit", h.getAudit)
	e.GET("/v1/classes", jsonHandler(func(c echo.Context) (any, error) {
		return backend.Classes(c.Request().Context())
	}))
	e.GET("/v1/workers", jsonHandler(func(c echo.Context) (any, error) {
		return backend.Workers(c.Request().Context())
	}))
	e.GET("/v1/vms", jsonHandler(func(c echo.Context) (any, error) {
		return backend.VMs(c.Request().Context())
	}))
	e.GET("/v1/status", jsonHandler(func(c echo.Context) (any, error) {
		return backend.Status(c.Request().Context())
	}))
	e.GET("/v1/jobs/:id/explain", jsonHandler(func(c echo.Context) (any, error) {
		return backend.ExplainJob(c.Request().Context(), c.Param("id"))
	}))
	e.GET("/v1/handover", jsonHandler(func(c echo.Context) (any, error) {
		return backend.Handover(c.Request().Context())
	}))
}

// handlers serves the routes that check their input.
type handlers struct {
	backend Backend
}

// jsonHandler returns a handler that sends the result of f as JSON with status 200,
// or its error by WriteError.
func jsonHandler(f func(c echo.Context) (any, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		body, err := f(c)
		if err != nil {
			return WriteError(c, err)
		}
		return c.JSON(http.StatusOK, body)
	}
}

// WriteError sends an error as JSON. An *Error is sent with its status and body, any
// other error with status 500.
func WriteError(c echo.Context, err error) error {
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return c.JSON(apiErr.Code, apiErr.ErrorBody)
	}
	return c.JSON(http.StatusInternalServerError, ErrorBody{Message: err.Error()})
}

// getHistory serves GET /v1/config/history.
func (h *handlers) getHistory(c echo.Context) error {
	limit, err := limitParam(c)
	if err != nil {
		return WriteError(c, err)
	}
	query := HistoryQuery{ID: c.QueryParam("id"), Limit: limit}
	history, err := h.backend.ConfigHistory(c.Request().Context(), query)
	if err != nil {
		return WriteError(c, err)
	}
	return c.JSON(http.StatusOK, history)
}

// getAudit serves GET /v1/audit.
func (h *handlers) getAudit(c echo.Context) error {
	limit, err := limitParam(c)
	if err != nil {
		return WriteError(c, err)
	}
	entries, err := h.backend.Audit(c.Request().Context(), limit)
	if err != nil {
		return WriteError(c, err)
	}
	return c.JSON(http.StatusOK, entries)
}

// limitParam returns the limit parameter of a request, or DefaultList if there is
// none.
func limitParam(c echo.Context) (int, error) {
	text := c.QueryParam("limit")
	if text == "" {
		return DefaultList, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > MaxList {
		return 0, newInputError("limit", text, fmt.Sprintf("1 to %d", MaxList), "limit is out of range")
	}
	return limit, nil
}

// publishConfig serves POST /v1/config. The publication is checked in full before it
// is passed to the backend, so that a faulty one does not reach the log.
func (h *handlers) publishConfig(c echo.Context) error {
	// JSON escapes can make the body several times as long as the YAML.
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, 6*MaxYAMLBytes+8*MaxTextBytes)
	var req PublishRequest
	if err := c.Bind(&req); err != nil {
		return WriteError(c, &Error{Code: http.StatusBadRequest, ErrorBody: ErrorBody{Message: "the body is not a JSON publication: " + err.Error()}})
	}
	if err := req.Validate(); err != nil {
		return WriteError(c, err)
	}
	if err := req.checkIDAge(time.Now()); err != nil {
		return WriteError(c, err)
	}
	if err := h.checkAgainstConfig(c.Request().Context(), req); err != nil {
		return WriteError(c, err)
	}
	resp, err := h.backend.PublishConfig(c.Request().Context(), req)
	if err != nil {
		return WriteError(c, err)
	}
	return c.JSON(publishHTTPStatus(resp.Status), resp)
}

// publishHTTPStatus returns the HTTP status of the answer to a publication: 200 for
// accepted, 409 for refused, and 202 if the outcome is unknown.
func publishHTTPStatus(status PublishStatus) int {
	switch status {
	case PublishAccepted:
		return http.StatusOK
	case PublishRefused:
		return http.StatusConflict
	default:
		return http.StatusAccepted
	}
}

// Validate checks everything about a publication that depends neither on the time nor
// on the state of the cluster. An error is an *Error with status 400. The command-line
// tool calls it before it sends the publication, the entry VM when it receives it.
func (r *PublishRequest) Validate() error {
	if _, err := ulid.ParseStrict(r.ID); err != nil {
		return newInputError("id", r.ID, "a ULID", "id is not valid")
	}
	if !r.Reset && r.Base < records.NoVersion {
		return newInputError("base", strconv.FormatInt(r.Base, 10), "-1 or a version", "base is out of range")
	}
	for _, f := range []struct{ name, value string }{{"who", r.Who}, {"why", r.Why}} {
		if f.value == "" || len(f.value) > MaxTextBytes {
			return newInputError(f.name, shorten(f.value), fmt.Sprintf("1 to %d bytes", MaxTextBytes), f.name+" is empty or too long")
		}
	}
	if len(r.YAML) > MaxYAMLBytes {
		return newInputError("yaml", fmt.Sprintf("%d bytes", len(r.YAML)), fmt.Sprintf("at most %d bytes", MaxYAMLBytes), "the configuration is too long")
	}
	if _, err := clusterconfig.Parse("yaml", []byte(r.YAML)); err != nil {
		return newInputError("yaml", shorten(r.YAML), "a valid configuration", err.Error())
	}
	return nil
}

// checkAgainstConfig checks whether this VM may append a publication, given the
// configuration state of the VM. It rejects three cases with status 409:
//   - a reset while the version in force is known, which would overwrite another
//     change;
//   - a publication without reset while the version is not known, which would stay
//     undecided;
//   - a base above the version in force. That version could be reached later, and a
//     copy of the refused publication would then be accepted.
func (h *handlers) checkAgainstConfig(ctx context.Context, req PublishRequest) error {
	config, err := h.backend.Config(ctx)
	if err != nil {
		return err
	}
	failure := &Error{Code: http.StatusConflict}
	switch {
	case req.Reset && config.LogVersionKnown:
		failure.ErrorBody = ErrorBody{
			Message: "the version in force is known, so it must be the base instead of a reset",
			Field:   "reset", Value: "true", Bound: "false",
		}
	case !req.Reset && !config.LogVersionKnown:
		failure.ErrorBody = ErrorBody{
			Message: "this VM cannot tell from the log which version is in force, so it cannot decide publications; " +
				"try another VM; if none can, publish with reset; nothing was published",
			Field: "reset", Value: "false", Bound: "true",
		}
	case !req.Reset && req.Base > config.Version:
		failure.ErrorBody = ErrorBody{
			Message: "this VM does not know the base; nothing was published",
			Field:   "base", Value: strconv.FormatInt(req.Base, 10), Bound: fmt.Sprintf("at most %d", config.Version),
		}
	default:
		return nil
	}
	return failure
}

// MaxPublishAge bounds the difference between the time in the id of a publication and
// the clock of the VM. The log must retain records for longer, so that an earlier
// publication with the same id is found.
const MaxPublishAge = time.Hour

// checkIDAge checks that the time in the id differs from now by at most
// MaxPublishAge. Older records may have been removed from the log, so that a
// repeated publication would not be recognized.
func (r *PublishRequest) checkIDAge(now time.Time) error {
	id, err := ulid.ParseStrict(r.ID)
	if err != nil {
		return newInputError("id", r.ID, "a ULID", "id is not valid")
	}
	created := ulid.Time(id.Time())
	if now.Sub(created).Abs() > MaxPublishAge {
		bound := fmt.Sprintf("created less than %s from %s", MaxPublishAge, now.UTC().Format(time.RFC3339))
		return newInputError("id", r.ID, bound, "look the id up in the history, and publish with a new id if it is not there")
	}
	return nil
}

// newInputError returns an *Error with status 400. bound describes what would be accepted.
func newInputError(field, value, bound, message string) *Error {
	return &Error{
		Code:      http.StatusBadRequest,
		ErrorBody: ErrorBody{Message: message, Field: field, Value: value, Bound: bound},
	}
}

// shorten returns the first 64 bytes of a value for use in an error message.
func shorten(s string) string {
	const maxBytes = 64
	if len(s) <= maxBytes {
		return s
	}
	return s[:maxBytes] + "..."
}
