#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --manifest-path review/standin-2/Cargo.toml
