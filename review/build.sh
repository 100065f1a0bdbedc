#!/bin/sh
# Builds the stand-ins and checks of all cases into target/release; needs no network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/stand-ins/Cargo.toml --target-dir target
