#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/9 to review/13 start. Needs no network after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TARGET_DIR="$PWD/target/review-3"
cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml
