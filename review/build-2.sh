#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the
# build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
packages="glib-2.0 json-c libprotobuf-c libmicrohttpd libcurl libsodium libxxhash"
${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -g -O1 -Wall -Wextra \
  -Wno-missing-field-initializers -DCYC_VERSION='"0.1.0"' \
  -Iinclude -Isrc -Iplatform -Ifakes $(pkg-config --cflags $packages) \
  -o target/review-2/standin-2 review/standin-2.c \
  fakes/fk_common.c fakes/fk_platform.c fakes/fk_platform_workers.c \
  target/libdaemon.a target/libcyclamendrum.a \
  $(pkg-config --libs $packages) -lev -largtable2 -lm
