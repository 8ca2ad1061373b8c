#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15 into target/review-3, with the packages that
# deploy/system.toml lists. The cases start target/bin/damaskd, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cat > target/review-3/include.cmake <<'CMAKE'
cmake_language(EVAL CODE "cmake_language(DEFER DIRECTORY \"${CMAKE_SOURCE_DIR}\" CALL include \"${CMAKE_SOURCE_DIR}/review/11/CMakeLists.txt\")")
CMAKE
cmake -S . -B target/review-3 -DCMAKE_BUILD_TYPE=Release -DDAMASK_TESTS=OFF \
  -DCMAKE_PROJECT_damaskworks_INCLUDE="$PWD/target/review-3/include.cmake"
cmake --build target/review-3 -j8 --target review3
