#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program, which each run.sh starts. It goes beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/rig
