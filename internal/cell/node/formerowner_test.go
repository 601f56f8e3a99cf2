package node

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell/cellpb"
	"gypsumwinch/standin/cellstore"
)

// TestDeposedOwnerProvesItsEnd guards against runs of lost workers that wait for the authority of an owner that was paused and has noticed its successor.
func TestDeposedOwnerProvesItsEnd(t *testing.T) {
	is := is.New(t)
	n := newFollower(t, &cellstore.Store{})
	hello := func() *cellpb.HelloResponse {
		resp, err := (&rpcServer{node: n}).Hello(context.Background(), &cellpb.HelloRequest{Addr: "vm2:1"})
		is.NoErr(err)
		return resp
	}
	n.holdsTerm.Store(true)
	is.True(!provesEnd(hello(), n.instance)) // it may still renew leases
	n.holdsTerm.Store(false)
	is.True(provesEnd(hello(), n.instance))
	is.True(provesEnd(&cellpb.HelloResponse{Instance: "another"}, n.instance))
	is.True(!provesEnd(&cellpb.HelloResponse{Instance: n.instance}, n.instance)) // an answer of a previous build
}
