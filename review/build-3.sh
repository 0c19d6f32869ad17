#!/bin/sh
# Builds the stand-ins of the third review's scripts into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in review/1[1-5]/*.cc; do
  c++ -std=c++20 -O1 -Wall -Wextra -pthread -I . -o \
    "target/review-3/$(basename "$program" .cc)" "$program" review/testbed-3.cc review/move-3.cc
done
