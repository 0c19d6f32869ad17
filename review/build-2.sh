#!/bin/sh
# Builds the stand-ins of review/6 and later into target/review-2, after the
# build of the deploy file. They use the project's own stand-in of the store.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -include src/base/cxxtools_compat.h
  -Iinclude -I."
libraries="target/libhornbeamcleat_platform.a target/libhornbeamcleat_relay.a
  target/libhornbeamcleat_core.a -lprometheus-cpp-core -lxxhash -lcxxtools
  -lfmt -lcrypto -lpthread"
# shellcheck disable=SC2086
{
  c++ $flags -c -o "$out/testbed.o" review/testbed-2.cc &
  testbed=$!
  c++ $flags -c -o "$out/store.o" tests/platform/fake_store.cc
  wait "$testbed"
  for n in 6 7 8 9 10; do
    if [ -f "review/$n/case.cc" ]; then
      c++ $flags -o "$out/case-$n" "review/$n/case.cc" "$out/testbed.o" \
        "$out/store.o" $libraries
    fi
  done
}
