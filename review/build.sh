#!/bin/sh
# Builds the program of each case into its folder. It holds every stand-in that
# the script starts.
set -eu
cd "$(dirname "$0")"
for case in [1-5]/case.cc; do
  [ -e "$case" ] || continue
  c++ -std=c++20 -O1 -pthread -Wall -Wextra -I .. testbed.cc "$case" \
    -o "${case%.cc}"
done
