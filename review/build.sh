#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It needs no module beyond those of the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/_stand
