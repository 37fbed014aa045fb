#!/usr/bin/env bash
# Builds the stand-in of the platform that the scripts of the cases start. Run
# it after the build of the deploy file; it uses the objects in target/.
#
# The stand-in is the project's own fake of the platform with four changes:
# more workers and runs, longer pages of a listing, and the time of day in
# `born`, as PROTOCOL.md has it.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s -j4 BUILD=target programs
out=build/review
mkdir -p "$out"
for file in fk_platform.c fk_platform_workers.c fk_platform.h \
  fk_platform_internal.h; do
  sed -e 's/define FKP_WORKERS_MAX 8$/define FKP_WORKERS_MAX 48/' \
    -e 's/define FKP_RUNS_MAX 256$/define FKP_RUNS_MAX 2048/' \
    -e 's/define NEWEST_ITEMS_PER_PAGE 3$/define NEWEST_ITEMS_PER_PAGE 500/' \
    -e 's|return hc_now_us () / 1000;|return hc_wall_ms ();|' \
    "fakes/$file" > "$out/$file"
done
packages="glib-2.0 json-c libprotobuf-c libmicrohttpd libcurl libsodium libxxhash"
# shellcheck disable=SC2046,SC2086
${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -g -O2 -Wall -I"$out" -Ifakes -Iinclude \
  -Isrc -Iplatform $(pkg-config --cflags $packages) -o "$out/standin" \
  review/standin.c "$out/fk_platform.c" "$out/fk_platform_workers.c" \
  fakes/fk_common.c target/libdaemon.a target/libcyclamendrum.a \
  $(pkg-config --libs $packages) -lev -largtable2 -lm
