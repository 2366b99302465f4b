#!/usr/bin/env bash
# Builds the programs of the cases into review/.bin. They need the standard library only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
export GOWORK=$PWD/go.work GOFLAGS=-buildvcs=false
go build -o .bin/ ./cases/...
