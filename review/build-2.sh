#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2, after the
# build of the deploy file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Isrc -Itest -Ireview/standins-2 \
  review/standins-2/*.cc \
  test/soak/store_standin.cpp test/soak/tcp_proxy.cpp test/system/process.cpp \
  -o target/review-2/world \
  target/src/galenalink/http/libgalenalink_http.a \
  target/src/galenalink/core/libgalenalink_core.a \
  -levent -lxxhash -lpthread
echo "built target/review-2/world"
