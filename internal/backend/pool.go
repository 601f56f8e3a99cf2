package backend

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the value of HeaderDigest for a body, an XXH64 checksum.
func Digest(body []byte) string {
	return fmt.Sprintf("xxh64=%016x", xxhash.Sum64(body))
}

// pool holds the connections to one server. Client.mu guards it. Each connection has
// an http.Transport of its own, so that their number never exceeds the limit: a
// single http.Transport dials in advance, and its limit cannot be changed.
type pool struct {
	dialTimeout time.Duration
	// limit is the maximum number of connections.
	limit int
	// inUse is the number of connections that carry a request.
	inUse int
	// idleConns is used last in, first out, so that only few connections stay
	// open and the others reach their idle timeout.
	idleConns []*serverConn
}

// isRemovable reports whether the Client can delete p.
func (p *pool) isRemovable() bool {
	return p.limit == 0 && p.inUse == 0
}

// setLimit sets the limit for Client.SetLimit. A negative limit counts as 0.
func (p *pool) setLimit(limit int) {
	p.limit = max(limit, 0)
	p.trim()
}

// trim closes idle connections, least recently used first, while there are more
// connections than the limit. It runs after the limit was set and after a connection was released.
func (p *pool) trim() {
	for len(p.idleConns) > 0 && p.inUse+len(p.idleConns) > p.limit {
		p.idleConns[0].close()
		p.idleConns = p.idleConns[1:]
	}
}

// acquire returns an idle connection or a new one for a request, or nil if the limit
// is reached.
func (p *pool) acquire() *serverConn {
	if p.inUse >= p.limit {
		return nil
	}
	p.inUse++
	n := len(p.idleConns)
	if n == 0 {
		return newServerConn(p.dialTimeout)
	}
	conn := p.idleConns[n-1]
	p.idleConns = p.idleConns[:n-1]
	return conn
}

// release makes a connection idle after its request, or closes it if there are more
// than the limit.
func (p *pool) release(conn *serverConn) {
	p.inUse--
	p.idleConns = append(p.idleConns, conn)
	p.trim()
}
