#!/usr/bin/env bash
# Builds the stand-in of the second review's scripts. Uses Boost.JSON's headers,
# a library of the deploy file, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o bin/case case.cpp
