#!/usr/bin/env bash
# Regenerates the Go code of peer.proto with the generators pinned in go.mod.
# An argument names another directory for the output.
set -euo pipefail
out=$(realpath "${1:-$(dirname "$0")}")
cd "$(dirname "$0")"
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$tools/protoc-gen-twirp" github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$tools:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative \
  --twirp_out="$out" --twirp_opt=paths=source_relative peer.proto
