package election

import (
	"math"
	"sync"
	"time"
)

const (
	// maxEndProofs is how many proofs are kept. Those of owners of the last seconds are of use.
	maxEndProofs = 64
	// allTerms is the term of a proof that a process has ended.
	allTerms = math.MaxInt64
)

// endProof proves that the ownerships of a process up to a term have ended by a time.
type endProof struct {
	// addr is compared too, so that a process proves nothing about one with the same
	// instance at another address.
	addr, instance string
	term           int64
	// at is on the clock of Options.Now.
	at time.Duration
}

// endProofs are the latest proofs that this VM has obtained from answers of other VMs.
type endProofs struct {
	mu     sync.Mutex
	proofs []endProof
}

// add keeps a proof, unless an earlier one covers it. ReportEnded and FormerOwnerEnded call
// it, on different goroutines.
func (p *endProofs) add(proof endProof) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.findLocked(OwnerRecord{Addr: proof.addr, Instance: proof.instance, Term: proof.term}); ok {
		return
	}
	if len(p.proofs) >= maxEndProofs {
		p.proofs = append(p.proofs[:0], p.proofs[1:]...)
	}
	p.proofs = append(p.proofs, proof)
}

// find returns by when the ownership that wrote a record had certainly ended, or false if no
// proof is known.
func (p *endProofs) find(r OwnerRecord) (at time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.findLocked(r)
}

// findLocked is find for a caller that holds mu.
func (p *endProofs) findLocked(r OwnerRecord) (at time.Duration, ok bool) {
	for _, q := range p.proofs {
		if q.addr == r.Addr && q.instance == r.Instance && r.Instance != "" && r.Term <= q.term {
			return q.at, true
		}
	}
	return 0, false
}
