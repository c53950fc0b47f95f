#!/bin/sh
# Builds the stand-ins of the second review's scripts. The project's programs are built by deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_stand2
