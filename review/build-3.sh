#!/usr/bin/env bash
# Builds the programs of the third review's cases: the drivers, with the stand-ins of clients, servers and the platform's store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for main in review/_cases3/*/main.go; do
	go build -o target/review-3/ "./$(dirname "$main")"
done
