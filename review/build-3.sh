#!/bin/sh
# Builds the stand-ins that the scripts of the third review start: one program with the store (of
# standin/), the workers and the clients. Run it in any folder, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand3 ./review/stand3
