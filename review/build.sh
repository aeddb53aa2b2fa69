#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The program under test is built as the deploy file says.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/standin
