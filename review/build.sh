#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
  number=${source%%/*}
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "bin/case-$number" "$source"
done
