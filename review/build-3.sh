#!/usr/bin/env bash
# Builds the program that plays the scripts of the third review, with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_stand3
