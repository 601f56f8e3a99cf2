// Package clients tests the real daemon against clients that misbehave (package badclient).
// Its tests measure the memory and the descriptors of a process, so that they run alone, one
// at a time, behind a build tag:
//
//	go test -tags clients -p 1 -count=1 ./test/clients
package clients
