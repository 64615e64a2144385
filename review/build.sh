#!/bin/bash
# Builds the stand-ins and clients of the cases; the build of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
for n in 1 2 3; do
	if [ -d "review/$n" ] && ls "review/$n"/*.go >/dev/null 2>&1; then
		go build -o "target/review-$n" "./review/$n"
	fi
done
