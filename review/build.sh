#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with the packages of the
# deploy file alone. The program itself is built by the deploy file's build line.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/world.cc -o target/review/world.o
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/world.o -o "target/review/case-$number"
done
