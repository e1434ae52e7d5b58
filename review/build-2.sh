#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with their stand-ins, into target/review2. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/ ./review/_cases2/longanswers ./review/_cases2/memory ./review/_cases2/earlyanswer \
	./review/_cases2/removed ./review/_cases2/descriptors
