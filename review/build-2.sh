#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and later. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/second/platform"
mkdir -p ../../../target/review-2
GOWORK=off GOFLAGS=-mod=mod go build -o ../../../target/review-2/stand .
