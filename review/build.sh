#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/build/, from the sources of
# this repository and the packages of deploy/system.toml alone. The stand-ins are
# named .cc and .hh, since the cases stay out of CI and so of its linter.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
flags=$(pkg-config --cflags --libs libevent libxxhash)
# shellcheck disable=SC2086
g++ -std=c++20 -O2 -Isrc -Itest -Ireview/standins -o review/build/standins \
  review/standins/*.cc src/galenalink/core/*.cpp src/galenalink/http/*.cpp \
  src/galenalink/http/detail/*.cpp \
  test/system/process.cpp $flags
echo "review: built review/build/standins"
