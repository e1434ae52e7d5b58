#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the review's cases. The program of the deploy file is built by its own line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-cases ./review/_cases
