package gracefulhttp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// BenchmarkRequest measures an ordinary request on a kept-alive connection, with and
// without a body, with the limits of a small VM.
func BenchmarkRequest(b *testing.B) {
	body := strings.Repeat("x", 470)
	for name, text := range map[string]string{
		"POST": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"GET":  "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := New(&http.Server{ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.ContentLength > 0 {
					_, _ = io.ReadFull(r.Body, make([]byte, r.ContentLength))
				}
				w.WriteHeader(http.StatusOK)
			})})
			s.SetLimits(Limits{MaxConns: 576, BodyTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second})
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			answer := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, text); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
