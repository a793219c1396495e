#!/usr/bin/env bash
# Builds what the scripts of the cases start, besides the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/ ./review/cases
