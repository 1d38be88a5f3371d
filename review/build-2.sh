#!/bin/sh
# Builds what the cases 6 to 10 start beside the relay. The relay itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/rig2 ./review/rig2
