#!/bin/sh
# Builds the stand-ins of the cases: store, workers and clients in one program.
set -eu
cd "$(dirname "$0")"
packages="glib-2.0 gio-2.0 libsoup-3.0 json-c"
mkdir -p build
# shellcheck disable=SC2046
${CC:-gcc} -O1 -g -std=gnu11 -Wall -Wextra -D_GNU_SOURCE \
    $(pkg-config --cflags $packages) -o build/rig rig/*.c \
    $(pkg-config --libs $packages)
