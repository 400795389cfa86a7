#!/bin/sh
# Builds the stand-ins that the scripts of the review start; they use the standard
# library only. The project's program is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
