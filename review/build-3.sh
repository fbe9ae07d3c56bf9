#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. The project's own
# program is built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/standins4 ./review/_standins4
