#!/bin/sh
# Builds the stand-ins of the second review's cases. Needs no network, only rustc and its standard
# library; the proxy itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -D warnings -o target/review-2/case review/standin-2/main.rs
