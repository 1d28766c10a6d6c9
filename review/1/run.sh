#!/usr/bin/env bash
# Concurrent uploads inside max-body-bytes; exits with 1 if a server runs one with another body.
folder="$(cd "$(dirname "$0")" && pwd)"
exec bash "$folder/../1/run-case.sh" ConcurrentUploads "$folder"
