#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/second"
go build -o target/ ./cmd/...
