package control

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Payload is the JSON content of a request or a task: instructions for the stand-in
// that runs it.
type Payload struct {
	// RunMS is the run time in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Fail makes the work fail at the end of its run time.
	Fail bool `json:"fail,omitempty"`
	// Size is the length of the answer in bytes.
	Size int `json:"size,omitempty"`
	// Key distinguishes payloads that are otherwise equal.
	Key string `json:"key,omitempty"`
	// UsageFactor is the ratio of used to declared resources. Zero means 1.
	UsageFactor float64 `json:"usage_factor,omitempty"`
}

// maxAnswerSize limits the memory for an answer, in bytes.
const maxAnswerSize = 64 << 20

// ParsePayload returns the instructions in data, with Size limited to 64 MiB. Data in
// another format means no run time and an answer of 64 bytes.
func ParsePayload(data []byte) Payload {
	var p Payload
	if err := json.Unmarshal(data, &p); err != nil {
		return Payload{Size: 64}
	}
	p.Size = min(max(p.Size, 0), maxAnswerSize)
	return p
}

// RunTime returns RunMS as a duration.
func (p Payload) RunTime() time.Duration {
	return time.Duration(p.RunMS) * time.Millisecond
}

// Answer returns the answer of a backend server to a payload. It is a function of all
// bytes of the payload, so that a check can detect that a caller got the answer to
// another request.
func Answer(data []byte) []byte {
	size := ParsePayload(data).Size
	source := rand.NewPCG(xxhash.Sum64(data), uint64(len(data)))
	body := make([]byte, 0, size+8)
	for len(body) < size {
		body = binary.LittleEndian.AppendUint64(body, source.Uint64())
	}
	return body[:size]
}
