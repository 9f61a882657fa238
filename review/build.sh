#!/bin/sh
# Builds the stand-ins of the scripts. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/review/standin ./review/standin
