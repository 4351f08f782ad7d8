#!/bin/bash
# Builds the stand-ins that the scripts of review/6 and later start.
set -e
cd "$(dirname "$0")/standin-2"
GOFLAGS=-buildvcs=false go build -o ../../target/review-2/standin-2 .
