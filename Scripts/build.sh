#!/usr/bin/env bash
# Configures and builds the release preset.
set -eu
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release
