#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15 into target/review-3.
# Run it after the build of deploy/system.toml, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
libraries=target/src/galenalink
g++ -std=c++20 -O2 -DNDEBUG -DBOOST_LOG_DYN_LINK -Isrc -Itest -Ireview/standins-3 \
  review/standins-3/cases.cc review/standins-3/platform.cc \
  test/system/process.cpp test/soak/tcp_proxy.cpp \
  "$libraries/http/libgalenalink_http.a" \
  "$libraries/telemetry/libgalenalink_telemetry.a" \
  "$libraries/core/libgalenalink_core.a" \
  $(pkg-config --libs libevent libxxhash) \
  -lprometheus-cpp-core -lboost_log -lboost_log_setup -lboost_thread \
  -lboost_filesystem -lboost_system -lpthread \
  -o target/review-3/cases
