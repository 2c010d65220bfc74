#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review's cases start. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/testdata/cases2
