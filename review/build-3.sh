#!/bin/sh
# Builds the stand-ins of this review's scripts into build/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for part in world scenarios main; do
  g++ -std=c++20 -O1 -c "review/standin-3/$part.cpp" \
    -o "build/review-3/$part.o"
done
g++ build/review-3/world.o build/review-3/scenarios.o build/review-3/main.o \
  -o build/review-3/standin -pthread
