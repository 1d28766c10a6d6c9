#!/usr/bin/env bash
# Compiles the stand-ins and drivers of the cases; the deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf ../target/review
mkdir -p ../target/review/classes
find . -name '*.java' -print0 | xargs -0 javac -Xlint:-options -d ../target/review/classes
