package callerapi

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"

	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/yamldoc"
)

const (
	maxIDBytes  = 128
	maxGroups   = 64
	maxCPUCores = 4096
)

// inputError is a fault in a caller's input.
type inputError struct {
	ErrorBody
	code int
}

// Error names the field and its bound.
func (e *inputError) Error() string {
	return fmt.Sprintf("%s: %s (bound: %s)", e.Field, e.ErrorBody.Error, e.Bound)
}

func invalid(field, value, bound, problem string) error {
	return &inputError{
		code:      http.StatusBadRequest,
		ErrorBody: ErrorBody{Error: problem, Field: field, Value: value, Bound: bound},
	}
}

func (h *handler) checkRequest(body *RequestBody) (structs.Class, error) {
	class, err := h.checkClass(body.Class)
	if err != nil {
		return class, err
	}
	if class.Kind != structs.KindRequest {
		return class, invalid("class", body.Class, "a class of kind request", "this class is for jobs")
	}
	if len(body.Payload) > h.limits.MaxPayloadBytes {
		return class, tooManyBytes("payload", len(body.Payload), h.limits.MaxPayloadBytes)
	}
	return class, nil
}

func (h *handler) checkClass(name string) (structs.Class, error) {
	class, found, known := h.service.Class(name)
	if !known {
		return class, &inputError{code: http.StatusServiceUnavailable, ErrorBody: ErrorBody{
			Error: "this VM has no configuration yet", Field: "class", Value: name,
		}}
	}
	if !found {
		return class, invalid("class", name, "a class of the configuration in force", "unknown class")
	}
	return class, nil
}

func checkRequestID(id string, nonIdempotent bool) error {
	if id == "" || len(id) > maxIDBytes {
		return invalid("id", id, fmt.Sprintf("1 to %d bytes", maxIDBytes), "bad id")
	}
	if nonIdempotent {
		return checkULID("id", id)
	}
	return nil
}

// checkULID demands a ULID whose time is not in the future. The time tells
// whether a VM that reads the log can know all earlier starts of the id.
func checkULID(field, id string) error {
	parsed, err := ulid.ParseStrict(id)
	if err != nil {
		return invalid(field, id, "a ULID", "bad id")
	}
	ahead := time.Until(ulid.Time(parsed.Time()))
	if ahead > maxFutureSkew {
		return invalid(field, id, "a time at most 1m ahead of now", "id from the future")
	}
	return nil
}

func tooManyBytes(field string, size, bound int) error {
	return invalid(field, strconv.Itoa(size)+" bytes", fmt.Sprintf("at most %d bytes", bound), "too large")
}

func (h *handler) checkJob(body *JobBody) (*structs.Job, error) {
	if err := checkULID("id", body.ID); err != nil {
		return nil, err
	}
	class, err := h.checkClass(body.Class)
	if err != nil {
		return nil, err
	}
	if class.Kind == structs.KindRequest {
		return nil, invalid("class", body.Class, "a class of kind batch, gang or service", "this class is for requests")
	}
	if !h.service.Team(body.Team) {
		return nil, invalid("team", body.Team, "a team of the configuration in force", "unknown team")
	}
	if len(body.Groups) == 0 || len(body.Groups) > maxGroups {
		return nil, invalid("groups", strconv.Itoa(len(body.Groups)), fmt.Sprintf("1 to %d groups", maxGroups), "bad number of groups")
	}
	job := &structs.Job{
		ID: body.ID, Team: body.Team, Class: body.Class, NonIdempotent: class.NonIdempotent, AcceptedAt: time.Now().UTC(),
	}
	for i := range body.Groups {
		group, err := h.checkGroup(i, &body.Groups[i], class.Kind)
		if err != nil {
			return nil, err
		}
		job.Groups = append(job.Groups, *group)
	}
	if n := job.TaskCount(); n > h.limits.MaxTasks {
		return nil, invalid("groups", strconv.Itoa(n)+" tasks", fmt.Sprintf("at most %d tasks", h.limits.MaxTasks), "too many tasks")
	}
	return job, nil
}

func (h *handler) checkGroup(i int, body *GroupBody, kind structs.ClassKind) (*structs.TaskGroup, error) {
	field := func(name string) string { return fmt.Sprintf("groups[%d].%s", i, name) }
	if body.Count < 1 || body.Count > h.limits.MaxTasks {
		return nil, invalid(field("count"), strconv.Itoa(body.Count), fmt.Sprintf("1 to %d", h.limits.MaxTasks), "bad number of tasks")
	}
	if !(body.CPU > 0 && body.CPU <= maxCPUCores) {
		return nil, invalid(field("cpu"), strconv.FormatFloat(body.CPU, 'g', -1, 64), fmt.Sprintf("above 0, at most %d cores", maxCPUCores), "bad number of cores")
	}
	memory, err := yamldoc.ParseMemory(body.Memory)
	if err != nil || memory <= 0 {
		return nil, invalid(field("memory"), body.Memory, "an amount with a unit, such as 512MiB or 2GiB", "bad amount of memory")
	}
	if body.Accelerators < 0 {
		return nil, invalid(field("accelerators"), strconv.FormatInt(body.Accelerators, 10), "0 or more", "bad number of accelerators")
	}
	if len(body.Payload) > h.limits.MaxPayloadBytes {
		return nil, tooManyBytes(field("payload"), len(body.Payload), h.limits.MaxPayloadBytes)
	}
	runTime, err := checkRunTime(field("run_time"), body.RunTime)
	if err != nil {
		return nil, err
	}
	return &structs.TaskGroup{
		Name:      body.Name,
		Count:     body.Count,
		Resources: structs.Resources{MilliCPU: int64(math.Round(body.CPU * 1000)), MemoryMB: memory, Accelerators: body.Accelerators},
		Gang:      body.Gang || kind == structs.KindGang,
		Service:   body.Service || kind == structs.KindService,
		RunTime:   runTime,
		Payload:   body.Payload,
	}, nil
}

func checkRunTime(field, value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	runTime, err := time.ParseDuration(value)
	if err != nil || runTime < 0 {
		return 0, invalid(field, value, "a duration with a unit, such as 90s", "bad run time")
	}
	return runTime, nil
}
