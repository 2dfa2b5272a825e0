#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -Wall -Wextra -o build/case standin/case.cpp -lboost_json -lpthread
