#!/usr/bin/env bash
# Regenerates the Go code of cell.proto with the generators pinned in go.mod.
set -euo pipefail
cd "$(dirname "$0")"
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$tools/protoc-gen-twirp" github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$tools:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --twirp_out=. --twirp_opt=paths=source_relative cell.proto
