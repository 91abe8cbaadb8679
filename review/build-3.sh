#!/bin/sh
# Builds the stand-ins and the drivers of the cases 11 to 15 into review/build-3.
# Needs target/spjobd, which the build of the deploy file makes, to run them.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/build-3
packages="glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-c"
cflags="-O2 -g -std=gnu11 -Wall -Wextra -D_GNU_SOURCE -Ireview/rig3"
build() {
	out=$1
	shift
	# shellcheck disable=SC2086,SC2046
	${CC:-gcc} $cflags $(pkg-config --cflags $packages) -o "review/build-3/$out" \
	    "$@" $(pkg-config --libs $packages) -lm
}
build store3 review/rig3/store3.c
build worker3 review/rig3/worker3.c
for i in 11 12 13 14 15; do
	if [ -e "review/$i/case.c" ]; then
		build "case$i" "review/$i/case.c" review/rig3/rig3.c
	fi
done
