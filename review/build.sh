#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The program under test is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/standin
