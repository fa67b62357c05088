#!/bin/sh
# Builds the stand-ins that the scripts of review/ start. It needs no network: the module
# has no dependencies.
set -eu
cd "$(dirname "$0")"
GOTOOLCHAIN=local go build -o bin/ ./cmd/...
