#!/usr/bin/env bash
# Installs what the build and the tests need from Debian's packages, where something is missing.
set -eu
PACKAGES="g++ cmake ninja-build ccache pkg-config curl libsoup-3.0-dev libcurl4-openssl-dev libglib2.0-dev libcereal-dev libtomlplusplus-dev libgflags-dev
libgoogle-glog-dev nlohmann-json3-dev libxxhash-dev libboost-dev librapidcheck-dev libgtest-dev libbenchmark-dev clang libclang-rt-14-dev clang-format clang-tidy"
MISSING=""
for package in $PACKAGES; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || MISSING="$MISSING $package"
done
[ -z "$MISSING" ] && exit 0
SUDO=""
[ "$(id -u)" = 0 ] || SUDO=sudo
$SUDO apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $SUDO apt-get install -y -qq --no-install-recommends $MISSING >/dev/null
