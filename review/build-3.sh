#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, the project's own among them. It is run
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-trial ./review/trial
