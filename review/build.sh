#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin.
set -e
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/stand .
