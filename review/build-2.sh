#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review, on top of the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/build/build.ninja ]; then
  cmake -G Ninja -S . -B target/build -DCMAKE_BUILD_TYPE=RelWithDebInfo
fi
ninja -C target/build shallotwick-scheduler standin-cluster
mkdir -p target/review
flags=(-std=c++20 -O1 -g -Wall -Wextra -Werror -DASIO_STANDALONE
  -DBOOST_LOG_DYN_LINK -I. -Ilibraries -Itests)
g++ "${flags[@]}" -c review/fleet.cc -o target/review/fleet.o
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [ -f "$source" ] || continue
  g++ "${flags[@]}" "$source" target/review/fleet.o \
    target/build/tests/standin-cluster/libstandin-cluster.a \
    target/build/libraries/http/libhttp.a \
    target/build/libraries/base/libbase.a \
    -lboost_log -lboost_thread -lboost_program_options -lcurl -lfmt \
    -lhttp_parser -lurcu -lpthread -o "target/review/case-$number"
done
