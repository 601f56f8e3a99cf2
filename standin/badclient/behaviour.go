package badclient

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Framing is how a client sends a body.
type Framing int

// Framings.
const (
	// OnePiece announces the length and sends the body in one write.
	OnePiece Framing = iota
	// SmallPieces announces the length and sends the body in pieces of pieceBytes.
	SmallPieces
	// Chunked sends the body in chunks, without its length.
	Chunked
)

const (
	// legalBytes is the length of a large body that is inside the platform's limit of 262,144.
	legalBytes = 255 << 10
	// missingBytes is how much of a body that stops short is not sent.
	missingBytes = 16
	// pieceBytes is the size of small pieces, chunkBytes that of chunks.
	pieceBytes = 1000
	chunkBytes = 4096
	// oversizedBytes is what a client sends of a body that is far over the limit.
	oversizedBytes = 4 << 20
	// announcedBytes is the length that such a client announces.
	announcedBytes = 1 << 30
	// slowInterval is the time between two bytes of a slow client.
	slowInterval = 500 * time.Millisecond
)

// Target is where a client sends its requests.
type Target struct {
	Host string
	Path string
}

// header returns the header of a request with a body; a negative length means chunks.
func (t Target) header(length int) string {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", t.Path, t.Host, framing)
}

// get returns a request without a body.
func (t Target) get() string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", t.Path, t.Host)
}

// sendText sends a text. It returns false if the server has closed the connection.
func (c *Client) sendText(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// sendPieces sends a text in pieces, each as a chunk if isChunked is true.
func (c *Client) sendPieces(text string, size int, isChunked bool) {
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		text = text[len(piece):]
		if isChunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if !c.sendText(piece) {
			return
		}
	}
}

// StopShort sends a body of legal length without its end.
func StopShort(t Target, f Framing) Behaviour {
	return func(c *Client) func() {
		body := strings.Repeat("x", legalBytes-missingBytes)
		switch f {
		case OnePiece:
			c.sendText(t.header(legalBytes) + body)
		case SmallPieces:
			c.sendText(t.header(legalBytes))
			c.sendPieces(body, pieceBytes, false)
		case Chunked:
			c.sendText(t.header(-1))
			c.sendPieces(body, chunkBytes, true)
		}
		return nil
	}
}

// Oversized sends a body far over the limit, until the server closes the connection.
func Oversized(t Target, f Framing) Behaviour {
	return func(c *Client) func() {
		length := announcedBytes
		if f == Chunked {
			length = -1
		}
		c.sendText(t.header(length))
		c.sendPieces(strings.Repeat("x", oversizedBytes), chunkBytes, f == Chunked)
		return nil
	}
}

// Whole sends a whole request and reads no answer.
func Whole(t Target, body string) Behaviour {
	return func(c *Client) func() {
		c.sendText(t.header(len(body)) + body)
		return nil
	}
}

// Ahead sends a number of requests without reading an answer.
func Ahead(t Target, count int) Behaviour {
	return func(c *Client) func() {
		c.sendPieces(strings.Repeat(t.get(), count), chunkBytes, false)
		return nil
	}
}

// Silent sends nothing.
func Silent() Behaviour {
	return func(*Client) func() { return nil }
}

// HalfHeader stops within the header, HalfBody within a short body.
func HalfHeader(t Target) Behaviour {
	return func(c *Client) func() {
		c.sendText(strings.TrimSuffix(t.header(legalBytes), "\r\n\r\n"))
		return nil
	}
}

// HalfBody stops within a short body.
func HalfBody(t Target) Behaviour {
	return func(c *Client) func() {
		c.sendText(t.header(600) + strings.Repeat("x", 300))
		return nil
	}
}

// SlowHeader sends a header one byte at a time.
func SlowHeader(t Target) Behaviour {
	return func(c *Client) func() {
		return func() { c.sendSlowly(t.header(legalBytes)) }
	}
}

// SlowBody sends a body one byte at a time.
func SlowBody(t Target) Behaviour {
	return func(c *Client) func() {
		c.sendText(t.header(legalBytes))
		return func() { c.sendSlowly(strings.Repeat("x", legalBytes)) }
	}
}

// SlowReader sends a number of requests ahead and reads the answers one byte at a time.
func SlowReader(t Target, count int) Behaviour {
	ahead := Ahead(t, count)
	return func(c *Client) func() {
		ahead(c)
		return func() {
			c.everyInterval(func() bool {
				_, err := c.Read(make([]byte, 1))
				return err == nil
			})
		}
	}
}

// Mixed has client number i behave as behaviour i modulo their number.
func Mixed(behaviours ...Behaviour) Behaviour {
	return func(c *Client) func() { return behaviours[c.Number%len(behaviours)](c) }
}

// sendSlowly sends a text one byte at a time until the crowd leaves.
func (c *Client) sendSlowly(text string) {
	c.everyInterval(func() bool {
		if text == "" {
			return false
		}
		isOpen := c.sendText(text[:1])
		text = text[1:]
		return isOpen
	})
}

// everyInterval calls act every slowInterval until it returns false or the crowd leaves.
func (c *Client) everyInterval(act func() bool) {
	ticker := time.NewTicker(slowInterval)
	defer ticker.Stop()
	for act() {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
	}
}

// Costly returns bodies of legal length that are expensive to decode, by name. None of them
// is a valid job.
func Costly() map[string]string {
	const size = 240 << 10
	list := func(element string) string {
		return strings.TrimSuffix(strings.Repeat(element+",", size/(len(element)+1)), ",")
	}
	return map[string]string{
		"empty steps":    `{"Phases":[` + strings.TrimSuffix(strings.Repeat("{},", 80_001), ",") + `]}`,
		"null steps":     `{"Phases":[` + list("null") + `]}`,
		"unknown fields": "{" + list(`"a":1`) + "}",
		"deep nesting":   `{"Phases":` + strings.Repeat("[", size),
		"one string":     `{"Spec":"` + strings.Repeat("x", size) + `","Phases":[]}`,
		"dependencies":   `{"Phases":[{"Count":-1,"DependsOn":[` + list("0") + `]}]}`,
	}
}

// Job returns the path and the body of an ordinary submission of one task.
func Job(prefix, id string) (path, body string) {
	return prefix + id, `{"Spec":"ordinary","Phases":[{"Count":1,"Cpu":500,"MemMb":64,"EstimatedMs":50}]}`
}

// Submission returns an ordinary request to hand in a job.
func Submission(addr, host, prefix, id string) (*http.Request, error) {
	path, body := Job(prefix, id)
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = host
	r.Close = true
	return r, nil
}

// StateQuery returns an ordinary request for the state of a job. Completed is in the
// answer once the job is done.
func StateQuery(addr, host, prefix, id string) (*http.Request, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+prefix+id, nil)
	if err != nil {
		return nil, err
	}
	r.Host = host
	r.Close = true
	return r, nil
}

// Completed is in the answer to a StateQuery once the job is done.
const Completed = `"completed"`
