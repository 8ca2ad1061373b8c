#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/6 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j "${JOBS:-8}"
