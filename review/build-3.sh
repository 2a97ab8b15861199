#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/stand-3"
GOWORK=off go build -buildvcs=false -o bin/stand3 .
