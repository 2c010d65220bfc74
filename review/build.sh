#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs Go, and neither a network nor other modules.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../bin/standin .
