#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/stand2 ./review/_stand2
