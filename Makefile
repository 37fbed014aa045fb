# Build of cyclamendrum. Object files and programs go to $(BUILD).
# `make check`, `asan`, `demo` and `bench` install missing packages; see
# README.md.

VERSION := 0.1.0
BUILD ?= build
PREFIX ?= /usr/local
CC ?= gcc
OPT ?= -O2
SANITIZE ?=
PACKAGES := glib-2.0 json-c libprotobuf-c libmicrohttpd libcurl libsodium libxxhash
WARN := -Wall -Wextra -Werror -Wshadow -Wmissing-prototypes -Wstrict-prototypes -Wno-missing-field-initializers
CFLAGS = -std=gnu11 -D_GNU_SOURCE -g $(OPT) $(WARN) $(SANITIZE) -Iinclude -Isrc -Iplatform -Ifakes $(PKG_CFLAGS) -DCYC_VERSION='"$(VERSION)"'
LDLIBS = $(PKG_LIBS) -lev -largtable2 -lm
PKG_CFLAGS = $(shell pkg-config --cflags $(PACKAGES))
PKG_LIBS = $(shell pkg-config --libs $(PACKAGES))

# Library sources are src/cyc_*.c and the generated codecs of records and cells.
LIB_SRC := $(sort $(wildcard src/cyc_*.c) src/record.pb-c.c src/cell.pb-c.c)
DAEMON_SRC := $(sort $(filter-out $(LIB_SRC) src/main.c,$(wildcard src/*.c platform/*.c)))
FAKE_COMMON := $(wildcard fakes/fk_*.c)
FAKE_MAIN := $(wildcard fakes/fake_*.c)
TEST_COMMON := $(wildcard tests/tst_*.c)
TEST_MAIN := $(sort $(wildcard tests/test_*.c))
BENCH_COMMON := $(wildcard bench/bn_*.c)
BENCH_MAIN := $(sort $(wildcard bench/bench_*.c))
SOAK_MAIN := $(sort $(wildcard soak/soak_*.c))
EXAMPLE_MAIN := $(wildcard examples/*.c)
HAND_WRITTEN := $(filter-out %.pb-c.c %.pb-c.h,$(wildcard include/cyclamendrum/*.h src/*.[ch] platform/*.[ch] fakes/*.[ch] tests/*.[ch] bench/*.[ch] soak/*.c examples/*.c))

obj = $(patsubst %.c,$(BUILD)/obj/%.o,$(1))
LIB := $(BUILD)/libcyclamendrum.a
DAEMON_LIB := $(BUILD)/libdaemon.a
BIN := $(BUILD)/cyclamendrum
FAKES := $(patsubst fakes/fake_%.c,$(BUILD)/fake-%,$(FAKE_MAIN))
TESTS := $(patsubst tests/%.c,$(BUILD)/%,$(TEST_MAIN))
SOAKS := $(patsubst soak/%.c,$(BUILD)/%,$(SOAK_MAIN))
BENCHES := $(patsubst bench/%.c,$(BUILD)/%,$(BENCH_MAIN))
EXAMPLES := $(patsubst examples/%.c,$(BUILD)/example-%,$(EXAMPLE_MAIN))

# Short cases of both stand-ins of review/; `scripts/run-review` runs all.
REVIEW_CASES := 5 9

.PHONY: all programs deps check test review demo bench asan format format-check tidy proto install clean
all: $(LIB) $(BIN) $(FAKES) $(TESTS) $(SOAKS) $(BENCHES) $(EXAMPLES)

# Only the installed binary; does not need the libraries of the tests.
programs: $(BIN)

$(BUILD)/obj/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CFLAGS) -MMD -MP -c $< -o $@
$(BUILD)/obj/%.pb-c.o: WARN = -w

$(LIB): $(call obj,$(LIB_SRC))
	rm -f $@ && ar rcs $@ $^
$(DAEMON_LIB): $(call obj,$(DAEMON_SRC))
	rm -f $@ && ar rcs $@ $^
$(BIN): $(call obj,src/main.c) $(DAEMON_LIB) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/fake-%: $(BUILD)/obj/fakes/fake_%.o $(call obj,$(FAKE_COMMON)) $(DAEMON_LIB) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/test_%: $(BUILD)/obj/tests/test_%.o $(call obj,$(TEST_COMMON)) $(call obj,$(FAKE_COMMON)) $(DAEMON_LIB) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS) -lcmocka
$(BUILD)/soak_%: $(BUILD)/obj/soak/soak_%.o $(call obj,$(TEST_COMMON)) $(call obj,$(FAKE_COMMON)) $(DAEMON_LIB) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS) -lcmocka
$(BUILD)/bench_%: $(BUILD)/obj/bench/bench_%.o $(call obj,$(BENCH_COMMON)) $(DAEMON_LIB) $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/example-%: $(BUILD)/obj/examples/%.o $(LIB)
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
.SECONDARY:

deps:
	@scripts/install-deps
test: all
	@BUILD=$(BUILD) scripts/run-tests $(TESTS) $(SOAKS)
check: deps
	@$(MAKE) --no-print-directory -j8 format-check all
	@$(MAKE) --no-print-directory review
	@$(MAKE) --no-print-directory tidy
	@$(MAKE) --no-print-directory test
	@scripts/run-review $(REVIEW_CASES)
# The stand-ins of the reviews, which link sources of fakes/ by their names.
review:
	review/build.sh
	review/build-2.sh
asan: deps
	@$(MAKE) --no-print-directory -j8 BUILD=build-asan OPT=-O1 SANITIZE="-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer" all
	@$(MAKE) --no-print-directory BUILD=build-asan OPT=-O1 SANITIZE="-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer" test
demo: deps
	@$(MAKE) --no-print-directory -j8 all
	@scripts/demo $(BUILD)
bench: deps
	@$(MAKE) --no-print-directory -j8 all
	@for b in $(BENCHES); do $$b || exit 1; done
format:
	clang-format -i $(HAND_WRITTEN)
format-check:
	@clang-format --dry-run -Werror $(HAND_WRITTEN)
# The analyzer of clang 14 takes other variables for va_lists now and then, where
# it reads several files in turn; files without any need no check of them.
WITH_VA_LIST := $(shell grep -lE 'va_(start|copy)' $(filter %.c,$(HAND_WRITTEN)))
TIDY = clang-tidy --quiet $(1) "$$@" -- -std=gnu11 -D_GNU_SOURCE -Iinclude -Isrc -Iplatform -Ifakes $(PKG_CFLAGS) -DCYC_VERSION="\"x\"" 2>/dev/null || { echo "clang-tidy failed in: $$*"; exit 1; }
tidy:
	@printf '%s\n' $(WITH_VA_LIST) | xargs -P 8 -n 1 sh -c '$(call TIDY,)' sh
	@printf '%s\n' $(filter-out $(WITH_VA_LIST),$(filter %.c,$(HAND_WRITTEN))) | xargs -P 8 -n 4 sh -c '$(call TIDY,--checks=-clang-analyzer-valist.*)' sh
proto:
	protoc-c --proto_path=proto --c_out=src proto/record.proto proto/peer.proto proto/cell.proto
install: $(LIB) $(BIN)
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig $(DESTDIR)$(PREFIX)/include/cyclamendrum
	install -m 755 $(BIN) $(DESTDIR)$(PREFIX)/bin/
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib/
	install -m 644 include/cyclamendrum/*.h $(DESTDIR)$(PREFIX)/include/cyclamendrum/
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' scripts/libcyclamendrum.pc.in > $(DESTDIR)$(PREFIX)/lib/pkgconfig/libcyclamendrum.pc
clean:
	rm -rf build build-asan
-include $(shell find $(BUILD)/obj -name '*.d' 2>/dev/null)
