package caller

import (
	"bytes"
	"context"
	"fmt"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/backendserver"
	"gypsumwinch/standin/control"
)

// Sent is a request and what its caller received for it.
type Sent struct {
	ID            string
	Class         string
	NonIdempotent bool
	Told          Told
	// Wrong is a message that describes a wrong answer, or "".
	Wrong string
}

// Request submits a request and checks that the answer belongs to its id and payload.
// It sets Wrong if not.
func (c *Caller) Request(ctx context.Context, id, class string, nonIdempotent bool, payload []byte) Sent {
	t := c.Submit(ctx, "/v1/requests", callerapi.RequestBody{
		ID: id, Class: class, NonIdempotent: nonIdempotent, Payload: payload,
	})
	s := Sent{ID: id, Class: class, NonIdempotent: nonIdempotent, Told: t}
	switch {
	case t.Answer == nil:
	case t.Answer.ID != id:
		s.Wrong = fmt.Sprintf("request %s (%s) got the answer to %s", id, class, t.Answer.ID)
	case t.Answer.Status == structs.StatusCompleted && !bytes.Equal(t.Answer.Body, control.Answer(payload)):
		s.Wrong = fmt.Sprintf("request %s (%s) got %d wrong bytes", id, class, len(t.Answer.Body))
	case t.Answer.Status != structs.StatusCompleted && len(t.Answer.Body) > 0:
		s.Wrong = fmt.Sprintf("request %s (%s) got %d bytes with status %s", id, class, len(t.Answer.Body), t.Answer.Status)
	}
	return s
}

// Check compares the answer with the runs of the request on the backend servers. It
// returns a message that describes a contradiction, or "".
func (s *Sent) Check(runs []backendserver.Run) string {
	if s.NonIdempotent && len(runs) > 1 {
		return fmt.Sprintf("non-idempotent request %s (%s) ran %d times: %+v", s.ID, s.Class, len(runs), runs)
	}
	if s.Told.Answer == nil {
		return ""
	}
	switch {
	case s.Told.Answer.Status == structs.StatusCompleted && len(runs) == 0:
		return fmt.Sprintf("request %s (%s) was reported as completed but never ran", s.ID, s.Class)
	// A send without an answer may have run the request. The next entry VM has no
	// record of that run unless the request is non-idempotent.
	case s.Told.Answer.Status == structs.StatusNotRun && len(runs) > 0 && (s.Told.Broken == 0 || s.NonIdempotent):
		return fmt.Sprintf("request %s (%s) was reported as not run but ran: %+v", s.ID, s.Class, runs)
	}
	return ""
}
