#!/bin/sh
# Builds the stand-ins that the scripts start. It needs no module but the standard library.
set -e
cd "$(dirname "$0")/harness"
mkdir -p ../../target/review
GOWORK=off go build -buildvcs=false -o ../../target/review/harness .
