// Package clientlimit decides how much of a process's memory and descriptors clients may
// use. It is pure: it does no I/O and knows no clock, no connections and no names of the
// platform. Package gracefulhttp enforces the limits of connections, package platform those
// of bodies.
//
// Read Plan first, then Budget for the bytes of bodies and Measure for the cost of decoding
// one.
package clientlimit

const (
	// bodyShare is the part of the memory of the process that bodies and what is decoded
	// from them may take: 1/8. The heap may hold as much again in garbage, and an owner of a
	// large cell needs half of the memory for itself. On the smallest VM (144 MB) it is 18 MB:
	// 54 bodies of the largest legal size (262,144 bytes) that arrive at the same time, and
	// 3,500 ordinary submissions (600 bytes, 5 KB decoded). Its part of 96 jobs a second at 35
	// VMs, taken as 6 requests a job, is 17 requests a second.
	bodyShare = 8
	// minBodyBytes lets the most expensive legal body (6.0 MB decoded) in on any VM.
	minBodyBytes = 8 << 20
	// connShare is the part of the memory for callers' connections: 1/4.
	connShare = 4
	// connBytes is what a connection counts for, apart from its body. In the tests of
	// misbehaving clients one takes 18 KB; a header of the most fields (512) takes 60 KB more,
	// for 3 s at most.
	connBytes = 64 << 10
	// fileShare is the part of the open files for callers' connections: 1/3. The rest is for
	// files (200), idle connections to workers (0.35, see platform.NewWorkerClient), their
	// busy ones, the store, the advice service and other VMs (16 each).
	fileShare = 3
	// minCallerConns keeps a process with very low limits reachable.
	minCallerConns = 16
	// readinessShare is the number of readiness connections for each of the callers': 1/16,
	// within the limits below. A load balancer checks once a second, several at a time at most.
	readinessShare    = 16
	minReadinessConns = 16
	maxReadinessConns = 128
)

// Plan is what clients may use of a process. A site inside the platform's limits reaches
// none of it.
type Plan struct {
	// BodyBytes is the capacity of the Budget.
	BodyBytes int64
	// CallerConns and ReadinessConns are the limits of open connections by listener.
	CallerConns    int
	ReadinessConns int
}

// NewPlan returns the plan of a process with a limit of memory in MB and one of open files; 0
// files means that the limit is not known. On the smallest VM (144 MB, 3,075 files) it allows
// 576 connections of callers; callers that open one for each of the 17 requests a second
// and leave it idle for 15 s have 255.
func NewPlan(memoryMB int64, maxFiles int) Plan {
	memory := memoryMB << 20
	conns := memory / connShare / connBytes
	if maxFiles > 0 {
		conns = min(conns, int64(maxFiles)/fileShare)
	}
	callers := int(max(conns, minCallerConns))
	return Plan{
		BodyBytes:      max(memory/bodyShare, minBodyBytes),
		CallerConns:    callers,
		ReadinessConns: min(max(callers/readinessShare, minReadinessConns), maxReadinessConns),
	}
}
