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

// Limits that no setting changes.
const (
	maxIDBytes = 128
	maxGroups  = 64
	maxCores   = 4096
)

// inputError is a fault in a caller's input. writeInputError sends its body.
type inputError struct {
	ErrorBody
	// httpStatus is the status of the response.
	httpStatus int
}

// Error returns the fault with its field and bound, without the value.
func (e *inputError) Error() string {
	return fmt.Sprintf("%s: %s (bound: %s)", e.Field, e.ErrorBody.Error, e.Bound)
}

// newInputError returns an inputError with status 400. bound describes what would be
// accepted.
func newInputError(field, value, bound, problem string) error {
	return &inputError{
		httpStatus: http.StatusBadRequest,
		ErrorBody:  ErrorBody{Error: problem, Field: field, Value: value, Bound: bound},
	}
}

// checkRequest checks the class and the size of the payload of a request and
// returns the class. The id is checked by checkRequestID, once it is known whether
// the request is idempotent.
func (h *handler) checkRequest(body *RequestBody) (structs.Class, error) {
	class, err := h.checkClass(body.Class)
	if err != nil {
		return class, err
	}
	if class.Kind != structs.KindRequest {
		return class, newInputError("class", body.Class, "a class of kind request", "this class is for jobs")
	}
	if len(body.Payload) > h.limits.MaxPayloadBytes {
		return class, newSizeError("payload", len(body.Payload), h.limits.MaxPayloadBytes)
	}
	return class, nil
}

// checkClass returns the class of this name in the configuration in force. The
// error has status 503 if this VM has no configuration yet.
func (h *handler) checkClass(name string) (structs.Class, error) {
	class, found, hasConfig := h.service.Class(name)
	if !hasConfig {
		return class, &inputError{httpStatus: http.StatusServiceUnavailable, ErrorBody: ErrorBody{
			Error: "this VM has no configuration yet", Field: "class", Value: name,
		}}
	}
	if !found {
		return class, newInputError("class", name, "a class of the configuration in force", "unknown class")
	}
	return class, nil
}

// checkRequestID checks the id of a request. The id of a non-idempotent request must
// be a ULID, see checkULID.
func checkRequestID(id string, nonIdempotent bool) error {
	if id == "" || len(id) > maxIDBytes {
		return newInputError("id", id, fmt.Sprintf("1 to %d bytes", maxIDBytes), "bad id")
	}
	if nonIdempotent {
		return checkULID("id", id)
	}
	return nil
}

// checkULID checks that the id of a job or of a non-idempotent request is a ULID
// whose time is at most maxFutureSkew ahead of this VM's clock. From the time, a VM
// that reads the log concludes whether it can know all earlier starts of the id.
func checkULID(field, id string) error {
	parsed, err := ulid.ParseStrict(id)
	if err != nil {
		return newInputError(field, id, "a ULID", "bad id")
	}
	ahead := time.Until(ulid.Time(parsed.Time()))
	if ahead > maxFutureSkew {
		return newInputError(field, id, "a time at most 1m ahead of now", "id from the future")
	}
	return nil
}

// newSizeError returns the error for a payload of size bytes, which is larger than
// bound.
func newSizeError(field string, size, bound int) error {
	return newInputError(field, strconv.Itoa(size)+" bytes", fmt.Sprintf("at most %d bytes", bound), "too large")
}

// checkJob checks a submitted job and returns it with the current time as the time
// of acceptance. The first fault found is returned.
func (h *handler) checkJob(body *JobBody) (*structs.Job, error) {
	if err := checkULID("id", body.ID); err != nil {
		return nil, err
	}
	class, err := h.checkClass(body.Class)
	if err != nil {
		return nil, err
	}
	if class.Kind == structs.KindRequest {
		return nil, newInputError("class", body.Class, "a class of kind batch, gang or service", "this class is for requests")
	}
	if !h.service.Team(body.Team) {
		return nil, newInputError("team", body.Team, "a team of the configuration in force", "unknown team")
	}
	if len(body.Groups) == 0 || len(body.Groups) > maxGroups {
		return nil, newInputError("groups", strconv.Itoa(len(body.Groups)), fmt.Sprintf("1 to %d groups", maxGroups), "bad number of groups")
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
		return nil, newInputError("groups", strconv.Itoa(n)+" tasks", fmt.Sprintf("at most %d tasks", h.limits.MaxTasks), "too many tasks")
	}
	return job, nil
}

// checkGroup checks group i of a submitted job, whose class is of the given kind,
// and returns it as a task group. Kinds gang and service make the group a gang or a
// service whatever its body contains.
func (h *handler) checkGroup(i int, body *GroupBody, kind structs.ClassKind) (*structs.TaskGroup, error) {
	field := func(name string) string { return fmt.Sprintf("groups[%d].%s", i, name) }
	if body.Count < 1 || body.Count > h.limits.MaxTasks {
		return nil, newInputError(field("count"), strconv.Itoa(body.Count), fmt.Sprintf("1 to %d", h.limits.MaxTasks), "bad number of tasks")
	}
	if !(body.CPU > 0 && body.CPU <= maxCores) {
		return nil, newInputError(field("cpu"), strconv.FormatFloat(body.CPU, 'g', -1, 64), fmt.Sprintf("above 0, at most %d cores", maxCores), "bad number of cores")
	}
	memory, err := yamldoc.ParseMemory(body.Memory)
	if err != nil || memory <= 0 {
		return nil, newInputError(field("memory"), body.Memory, "an amount with a unit, such as 512MiB or 2GiB", "bad amount of memory")
	}
	if body.Accelerators < 0 {
		return nil, newInputError(field("accelerators"), strconv.FormatInt(body.Accelerators, 10), "0 or more", "bad number of accelerators")
	}
	if len(body.Payload) > h.limits.MaxPayloadBytes {
		return nil, newSizeError(field("payload"), len(body.Payload), h.limits.MaxPayloadBytes)
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

// checkRunTime parses the run time of a task group. An empty value is 0, for an
// unknown run time.
func checkRunTime(field, value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	runTime, err := time.ParseDuration(value)
	if err != nil || runTime < 0 {
		return 0, newInputError(field, value, "a duration with a unit, such as 90s", "bad run time")
	}
	return runTime, nil
}
