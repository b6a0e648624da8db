#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test through CTest.
set -eu
cd "$(dirname "$0")/.."
Scripts/install.sh
Scripts/build.sh
ctest --preset release --no-tests=error
