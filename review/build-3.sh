#!/bin/sh
# Builds the stand-ins of review/11 to review/15 into target/review-3/.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 && go build -o target/review-3/ ./review/bed3
