#!/bin/bash
# Builds the stand-ins and the drivers of all cases.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
go build -trimpath -o target/review/ ./review/lastkey ./review/olderstart ./review/stranger ./review/doubled ./review/withdrawn ./review/owners ./review/regress
