package callerapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"gypsumwinch/internal/structs"
)

// maxBodyOverheadBytes bounds what a body may contain besides its payloads.
const maxBodyOverheadBytes = 64 << 10

// bodyReadTimeout limits the time for reading the body of an HTTP request.
const bodyReadTimeout = 30 * time.Second

// base64GrowthFactor is the factor by which base64 enlarges a payload in JSON,
// rounded up.
const base64GrowthFactor = 2

// Register adds the routes for callers to e. The daemon calls it once at its start.
func Register(e *echo.Echo, service Service, limits Limits) {
	h := &handler{service: service, limits: limits}
	e.POST("/v1/requests", h.runRequest)
	e.POST("/v1/jobs", h.submitJob)
	e.GET("/v1/jobs/:id", h.jobStatus)
	e.DELETE("/v1/jobs/:id", h.cancelJob)
}

// handler serves the routes for callers.
type handler struct {
	service Service
	limits  Limits
}

// runRequest serves POST /v1/requests. The response is sent when the outcome of the
// request is decided; its header waitHeader contains the wait to start.
func (h *handler) runRequest(c echo.Context) error {
	var body RequestBody
	if err := h.decode(c, &body); err != nil {
		return writeInputError(c, err)
	}
	class, err := h.checkRequest(&body)
	if err != nil {
		return writeInputError(c, err)
	}
	req := structs.Request{
		ID:            body.ID,
		Class:         body.Class,
		NonIdempotent: body.NonIdempotent || class.NonIdempotent,
		Payload:       body.Payload,
	}
	if err := checkRequestID(req.ID, req.NonIdempotent); err != nil {
		return writeInputError(c, err)
	}
	outcome, wait := h.service.Do(c.Request().Context(), req)
	c.Response().Header().Set(waitHeader, strconv.FormatInt(wait.Milliseconds(), 10))
	return writeOutcome(c, body.ID, outcome)
}

// submitJob serves POST /v1/jobs.
func (h *handler) submitJob(c echo.Context) error {
	var body JobBody
	if err := h.decode(c, &body); err != nil {
		return writeInputError(c, err)
	}
	job, err := h.checkJob(&body)
	if err != nil {
		return writeInputError(c, err)
	}
	return writeOutcome(c, body.ID, h.service.SubmitJob(c.Request().Context(), *job))
}

// jobStatus serves GET /v1/jobs/:id. Status 503 means that the state of the job
// could not be determined, and 404 that there is no such job.
func (h *handler) jobStatus(c echo.Context) error {
	id := c.Param("id")
	status, err := h.service.JobStatus(c.Request().Context(), id)
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, ErrorBody{Error: err.Error(), Field: "id", Value: id})
	}
	if status == nil {
		return c.JSON(http.StatusNotFound, ErrorBody{Error: "no such job", Field: "id", Value: id})
	}
	return c.JSON(http.StatusOK, status)
}

// cancelJob serves DELETE /v1/jobs/:id. The header X-Caller names the person or
// program that cancels the job.
func (h *handler) cancelJob(c echo.Context) error {
	id := c.Param("id")
	if err := checkULID("id", id); err != nil {
		return writeInputError(c, err)
	}
	who := c.Request().Header.Get("X-Caller")
	return writeOutcome(c, id, h.service.CancelJob(c.Request().Context(), id, who))
}

// decode reads the JSON body of an HTTP request into target. Unknown fields are
// errors, and so is a body larger than the limit that follows from MaxPayloadBytes.
func (h *handler) decode(c echo.Context, target any) error {
	// The read deadline keeps a slow caller from occupying a connection for long. It
	// is removed afterwards, since its expiry would cancel a running request.
	conn := http.NewResponseController(c.Response())
	_ = conn.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	limit := int64(h.limits.MaxPayloadBytes)*base64GrowthFactor + maxBodyOverheadBytes
	reader := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	decoder := json.NewDecoder(reader)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &inputError{httpStatus: http.StatusRequestEntityTooLarge, ErrorBody: ErrorBody{
			Error: "body too large", Field: "body", Bound: fmt.Sprintf("at most %d bytes", limit),
		}}
	}
	return newInputError("body", "", "one JSON object of the documented form", err.Error())
}

// writeOutcome sends the outcome of the request, submission or cancellation with
// this id, with the HTTP status of statusCode. The header Retry-After is rounded up
// to whole seconds.
func writeOutcome(c echo.Context, id string, outcome structs.Outcome) error {
	body := Answer{
		ID:           id,
		Status:       outcome.Status,
		Reason:       outcome.Reason,
		RetryAfterMS: outcome.RetryAfter.Milliseconds(),
		Body:         outcome.Body,
	}
	if outcome.RetryAfter > 0 {
		seconds := int64(math.Ceil(outcome.RetryAfter.Seconds()))
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	return c.JSON(statusCode(outcome.Status), body)
}

// statusCode returns the HTTP status for the status of an outcome: 200 for
// completed, 503 for not run, and 504 if the outcome is unknown.
func statusCode(status structs.Status) int {
	switch status {
	case structs.StatusCompleted:
		return http.StatusOK
	case structs.StatusNotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// writeInputError sends an inputError with its own status, and any other error
// with status 400.
func writeInputError(c echo.Context, err error) error {
	var inputErr *inputError
	if errors.As(err, &inputErr) {
		return c.JSON(inputErr.httpStatus, inputErr.ErrorBody)
	}
	return c.JSON(http.StatusBadRequest, ErrorBody{Error: err.Error()})
}

// maxFutureSkew limits how far the time in an id may be ahead of this VM's clock.
const maxFutureSkew = time.Minute
