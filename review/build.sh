#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: review/harness, in target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g -Wall -Wextra -Werror review/harness/*.cpp -o target/review/review-case -pthread
