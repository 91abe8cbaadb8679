# make            builds the library, the daemons and the command
# make demo       installs packages, builds, runs one job through a small system
# make check      installs packages, builds and runs all tests
# make bench      measures policies and costs, see docs/POLICY.md
# make install    installs to $(DESTDIR)$(PREFIX)
# make review-cases  runs the cases of the reviews, see tools/review-cases
# make fuzz       runs each fuzz target for SECONDS with fresh inputs
# SANITIZE=1 builds with address and undefined-behaviour sanitizers.

CC = gcc
PREFIX = /usr/local
VERSION = 0.1.0
PACKAGES = glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-c libtirpc libcurl

ifdef SANITIZE
B = build-sanitize
SANFLAGS = -fsanitize=address,undefined -fno-sanitize-recover=undefined \
    -fno-omit-frame-pointer
else
B = build
endif

WARNINGS = -Wall -Wextra -Wstrict-prototypes -Wmissing-prototypes -Wshadow \
    -Wno-cast-function-type -Wno-format-truncation -Werror
CFLAGS = -O2 -g -std=gnu11
# Expanded only by the rules that use them: "make deps" must run before
# pkg-config and the packages are installed.
PKG_CFLAGS = $(shell pkg-config --cflags $(PACKAGES))
PKG_LIBS = $(shell pkg-config --libs $(PACKAGES))
ALL_CFLAGS = $(CFLAGS) $(SANFLAGS) -MMD -MP -I. -Isrc -Iinclude -Itests \
    -D_GNU_SOURCE -fPIC
LIBS = $(PKG_LIBS) -lm

LIB_SRCS = $(wildcard src/process/*.c src/version/*.c src/connection/*.c \
    src/request/*.c)
DAEMON_SRCS = $(wildcard src/daemons/*.c)
TEST_SRCS = $(wildcard tests/test_*.c)
STANDIN_SRCS = $(wildcard tests/standin_*.c tests/fault_proxy.c \
    tests/demo.c)
BENCH_SRCS = $(wildcard bench/bench_*.c)
BENCH_SUPPORT_SRCS = $(filter-out $(BENCH_SRCS), $(wildcard bench/*.c))
SUPPORT_SRCS = $(filter-out $(TEST_SRCS) $(STANDIN_SRCS), \
    $(wildcard tests/*.c))

LIB_OBJS = $(LIB_SRCS:%.c=$(B)/%.o)
SUPPORT_OBJS = $(SUPPORT_SRCS:%.c=$(B)/%.o)
# An archive, so that programs other than tests leave out the objects that need
# the check library.
SUPPORT_LIB = $(B)/libsupport.a
BENCH_SUPPORT_OBJS = $(BENCH_SUPPORT_SRCS:%.c=$(B)/%.o)
LIB = $(B)/libsequoiaplank.a
SHARED_LIB = $(B)/libsequoiaplank.so
PROGRAMS = $(DAEMON_SRCS:src/daemons/%.c=$(B)/%)
PLATFORM_SRCS = $(wildcard platform/*.c)
PLATFORM_OBJS = $(filter-out %/spjobd.o, $(PLATFORM_SRCS:%.c=$(B)/%.o))
PLATFORM_LIB = $(B)/libplatform.a
PLATFORM_PROGRAM = $(B)/spjobd
# The simulation replaces the clock, timers, sockets and connections of the
# library, so its archive comes before the library's.
SIM_PROGRAM = $(B)/spsim
SIM_OBJS = $(patsubst %.c,$(B)/%.o,$(filter-out sim/spsim.c,$(wildcard sim/*.c)))
SIM_LIB = $(B)/libsim.a
SIM_WRAPPED = g_timeout_add g_idle_add g_idle_add_full g_source_remove \
    getrandom setsockopt g_socket_get_fd g_socket_set_option \
    g_socket_connection_get_socket g_socket_listener_add_address \
    g_socket_listener_close g_signal_connect_data \
    g_socket_client_connect_async g_socket_client_connect_finish sch_new
SIM_LDFLAGS = $(SIM_WRAPPED:%=-Wl,--wrap=%)
STANDINS = $(STANDIN_SRCS:tests/%.c=$(B)/%)
TESTS = $(TEST_SRCS:tests/%.c=$(B)/%)
BENCHES = $(BENCH_SRCS:bench/%.c=$(B)/%)

# libFuzzer needs clang; its objects are built apart.
FUZZ_SRCS = $(wildcard fuzz/fuzz_*.c)
FUZZ_TARGETS = $(FUZZ_SRCS:fuzz/%.c=$(B)/%)
FUZZ_OBJS = $(B)/fuzz/init.o $(B)/fuzz/choices.o
# These run on simulated time, which replaces the timers and the clock.
FUZZ_TIMED = $(B)/fuzz_storepage $(B)/fuzz_holder
FUZZ_TIMED_LDFLAGS = -Wl,--wrap=g_timeout_add -Wl,--wrap=g_source_remove
FUZZ_MAKE = $(MAKE) B=build-fuzz CC=clang WARNINGS="-Wall -Wextra -Wno-unused-variable" \
    SANFLAGS="-fsanitize=address,undefined,fuzzer-no-link \
    -fno-sanitize-recover=undefined -fno-omit-frame-pointer"
SECONDS = 60

C_FILES = $(filter-out %_xdr.c %_xdr.h, \
    $(wildcard src/*/*.c src/*/*.h include/*.h tests/*.c tests/*.h \
    bench/*.c bench/*.h platform/*.c platform/*.h fuzz/*.c fuzz/*.h \
    sim/*.c sim/*.h))

all: $(PROGRAMS) $(SHARED_LIB) $(PLATFORM_PROGRAM)
test-programs: all $(STANDINS) $(TESTS) $(BENCHES) $(SIM_PROGRAM)

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) $(PKG_CFLAGS) $(WARNINGS) -c -o $@ $<

# rpcgen output is committed as it is, formatted, and has unused variables.
$(B)/src/connection/wire_xdr.o $(B)/src/connection/run_xdr.o: WARNINGS = -Wall -Wno-unused-variable

$(LIB): $(LIB_OBJS)
	@rm -f $@
	ar rcs $@ $(LIB_OBJS)

$(SUPPORT_LIB): $(SUPPORT_OBJS)
	@rm -f $@
	ar rcs $@ $(SUPPORT_OBJS)

$(SHARED_LIB): $(LIB_OBJS)
	$(CC) $(SANFLAGS) -shared -Wl,-soname,libsequoiaplank.so.0 -o $@ \
	    $(LIB_OBJS) $(LIBS)

$(PROGRAMS): $(B)/%: $(B)/src/daemons/%.o $(LIB)
	$(CC) $(SANFLAGS) -o $@ $< $(LIB) $(LIBS)

$(PLATFORM_LIB): $(PLATFORM_OBJS)
	@rm -f $@
	ar rcs $@ $(PLATFORM_OBJS)

$(PLATFORM_PROGRAM): $(B)/platform/spjobd.o $(PLATFORM_LIB) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $< $(PLATFORM_LIB) $(LIB) $(LIBS)

# The target that deploy/system.toml builds.
platform: $(PLATFORM_PROGRAM)

$(SIM_LIB): $(SIM_OBJS)
	@rm -f $@
	ar rcs $@ $(SIM_OBJS)

$(SIM_PROGRAM): $(B)/sim/spsim.o $(SIM_LIB) $(PLATFORM_LIB) $(LIB)
	$(CC) $(SANFLAGS) $(SIM_LDFLAGS) -o $@ $< $(SIM_LIB) $(PLATFORM_LIB) \
	    $(LIB) $(LIBS)

$(STANDINS): $(B)/%: $(B)/tests/%.o $(SUPPORT_LIB) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $< $(SUPPORT_LIB) $(LIB) $(LIBS)

$(B)/test_sim: $(B)/tests/test_sim.o $(SIM_LIB) $(SUPPORT_LIB) $(PLATFORM_LIB) \
    $(LIB)
	$(CC) $(SANFLAGS) $(SIM_LDFLAGS) -o $@ $< $(SIM_LIB) $(SUPPORT_LIB) \
	    $(PLATFORM_LIB) $(LIB) $(LIBS) $(shell pkg-config --libs check)

$(filter-out $(B)/test_sim,$(TESTS)): $(B)/%: $(B)/tests/%.o $(SUPPORT_LIB) $(PLATFORM_LIB) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $< $(SUPPORT_LIB) $(PLATFORM_LIB) $(LIB) \
	    $(LIBS) $(shell pkg-config --libs check)

$(BENCHES): $(B)/%: $(B)/bench/%.o $(BENCH_SUPPORT_OBJS) $(SUPPORT_LIB) $(LIB)
	$(CC) $(SANFLAGS) -o $@ $< $(BENCH_SUPPORT_OBJS) $(SUPPORT_LIB) $(LIB) \
	    $(LIBS)

$(FUZZ_TIMED): $(B)/fuzz_%: $(B)/fuzz/fuzz_%.o $(FUZZ_OBJS) \
    $(B)/fuzz/simtime.o $(PLATFORM_LIB) $(LIB)
	$(CC) $(SANFLAGS) $(FUZZ_TIMED_LDFLAGS) -fsanitize=fuzzer -o $@ $< \
	    $(FUZZ_OBJS) $(B)/fuzz/simtime.o $(PLATFORM_LIB) $(LIB) $(LIBS)

$(filter-out $(FUZZ_TIMED),$(FUZZ_TARGETS)): $(B)/fuzz_%: $(B)/fuzz/fuzz_%.o \
    $(FUZZ_OBJS) $(PLATFORM_LIB) $(LIB)
	$(CC) $(SANFLAGS) -fsanitize=fuzzer -o $@ $< $(FUZZ_OBJS) \
	    $(PLATFORM_LIB) $(LIB) $(LIBS)

fuzz-targets: $(FUZZ_TARGETS)

fuzz: deps
	$(FUZZ_MAKE) fuzz-targets
	tools/fuzz build-fuzz seconds $(SECONDS)

# The committed inputs and a fixed number of runs from a fixed seed.
fuzz-check: deps
	$(FUZZ_MAKE) fuzz-targets
	tools/fuzz build-fuzz check

# Regenerates the committed src/connection/{wire,run}_xdr.[ch].
wire:
	cd src/connection && for x in wire run; do \
	    rm -f $${x}_xdr.c $${x}_xdr.h && \
	    rpcgen -M -h -o $${x}_xdr.h $$x.x && \
	    rpcgen -M -c -o $${x}_xdr.c $$x.x && \
	    sed -i "s/\"$$x.h\"/\"$${x}_xdr.h\"/" $${x}_xdr.c && \
	    clang-format -i $${x}_xdr.c $${x}_xdr.h; done

deps:
	tools/install-packages

demo: deps
	$(MAKE) test-programs
	tools/demo $(B)

check: deps
	$(MAKE) test-programs
	tools/run-tests $(B)

review-cases: deps
	$(MAKE) B=target platform
	for build in review/build*.sh; do sh $$build || exit 1; done
	tools/review-cases

bench: deps
	$(MAKE) test-programs
	tools/bench $(B)

format:
	clang-format -i $(C_FILES)

format-check:
	clang-format --dry-run --Werror $(C_FILES)

# One file a process: the analyzer of clang-tidy 14 keeps the names that it looks
# for from the first file of a process, and may take other functions for them in
# the next.
lint:
	printf '%s\n' $(filter %.c,$(C_FILES)) | xargs -P 8 -n 1 sh -c \
	    'clang-tidy --quiet "$$@" -- -std=gnu11 -I. -Isrc -Iinclude -Itests \
	    -D_GNU_SOURCE $(PKG_CFLAGS) 2>/dev/null' lint

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
	    $(DESTDIR)$(PREFIX)/include
	install $(PROGRAMS) $(PLATFORM_PROGRAM) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install $(SHARED_LIB) $(DESTDIR)$(PREFIX)/lib/libsequoiaplank.so.0
	ln -sf libsequoiaplank.so.0 $(DESTDIR)$(PREFIX)/lib/libsequoiaplank.so
	install -m 644 include/sequoiaplank.h $(DESTDIR)$(PREFIX)/include
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' \
	    tools/sequoiaplank.pc.in \
	    > $(DESTDIR)$(PREFIX)/lib/pkgconfig/sequoiaplank.pc

clean:
	rm -rf build build-sanitize build-fuzz target

.PHONY: all platform test-programs fuzz-targets fuzz fuzz-check wire deps demo \
    check review-cases bench format format-check lint install clean
.SECONDARY:

-include $(shell find $(B) -name '*.d' 2>/dev/null)
