#!/bin/sh
# Builds the stand-ins of the second review into target/. It needs the modules of go.mod and no network.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
