#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -o review/bin/standin ./review/_standin
