#!/bin/sh
# Builds the program with the stand-ins and the drivers of all cases into review/bin/.
set -e
cd "$(dirname "$0")/standin"
go build -o ../bin/standin .
