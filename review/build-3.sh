#!/bin/bash
# Builds the stand-ins that the scripts of review/11 and later start.
set -e
cd "$(dirname "$0")/standin-3"
GOFLAGS=-buildvcs=false go build -o ../../target/review-3/standin-3 .
