#!/bin/sh
# Builds the stand-ins that the cases start, with the standard library only and without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
