#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The project's programs are built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review.out ./review/_world
