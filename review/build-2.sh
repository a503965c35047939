#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/7 and later start.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/_standins/*/main.go; do
  dir=$(dirname "$main")
  go build -o "target/review-2/$(basename "$dir")" "./$dir"
done
