#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy
# file, whose libraries they use.
set -e
cd "$(dirname "$0")/.."
ninja -C target/build http base
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -DASIO_STANDALONE -DBOOST_LOG_DYN_LINK \
  -I libraries -I tests -I review -I . \
  review/stage.cc review/cases.cc \
  tests/standin-cluster/row_table.cc \
  target/build/libraries/http/libhttp.a target/build/libraries/base/libbase.a \
  -lboost_log -lboost_thread -lboost_program_options -lcurl -lfmt \
  -lhttp_parser -lurcu -lurcu-common -lxxhash -lpthread \
  -o target/review/cases-3
