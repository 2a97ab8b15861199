#!/bin/sh
# Builds the stand-ins of the scripted cases in review/6 to review/10.
set -eu
cd "$(dirname "$0")/stand-2"
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-2 .
