#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start, into
# build/review-2.  Run after the build of the deploy file; needs nothing but its
# packages.
set -e
cd "$(dirname "$0")/.."
out=build/review-2
flags="-O2 -std=gnu11 -D_GNU_SOURCE -Isrc -Itests -Iinclude"
packages="libsoup-3.0 gio-2.0 gio-unix-2.0 glib-2.0 json-c"
mkdir -p $out
gcc $flags $(pkg-config --cflags $packages) -o $out/standin_platform \
    tests/standin_platform.c tests/jsonreply.c tests/kvstandin.c \
    src/process/clock.c $(pkg-config --libs $packages)
gcc $flags $(pkg-config --cflags $packages) -o $out/fault_proxy \
    tests/fault_proxy.c src/process/clock.c $(pkg-config --libs $packages)
gcc $flags -Wall -Wextra -Werror -o $out/call review/rig2/call.c
