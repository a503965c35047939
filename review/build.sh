#!/usr/bin/env bash
# Builds the driver of the scripted cases with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-driver ./review/testdata/driver
