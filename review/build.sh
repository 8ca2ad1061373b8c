#!/usr/bin/env bash
# Builds the program that plays the cases that are scripts, with its stand-ins, into target/review. Run the
# build of deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j8 --target review_case
