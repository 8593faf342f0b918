# endiveslip: make demo, make check, make bench, make soak, make capacity.
# Every src/*.c but main_*.c goes into the library; every main_X.c is a
# program of the product; every tools/endive-X.c is a stand-in or measuring
# tool, and the other tools/*.c are what these share.

PREFIX ?= /usr/local
DESTDIR ?=
VERSION := $(shell sed -n 's/.*ES_VERSION "\(.*\)"/\1/p' include/endiveslip.h)
PKGS = libevent libevent_pthreads msgpack glib-2.0 gobject-2.0 \
       json-glib-1.0 libsodium
PC_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PC_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
LIBS = $(PC_LIBS) -levhtp -lssl -lcrypto -llog4c -lm
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
       -Wmissing-prototypes -Wpointer-arith -Wno-unused-parameter
CPPFLAGS = -D_GNU_SOURCE -Iinclude -Isrc -Iplatform $(PC_CFLAGS)
CFLAGS = -std=gnu11 -O2 -g $(WARN)
CXXFLAGS = -std=c++17 -O1 -g -Wall -Wextra -Werror -Wno-unused-parameter
SAN = -fsanitize=address,undefined -fno-sanitize-recover=all \
      -fno-omit-frame-pointer -O1

B = build
LIB_SRC := $(sort $(filter-out src/main_%.c,$(wildcard src/*.c)) \
             $(wildcard platform/*.c))
MAINS := $(sort $(patsubst src/main_%.c,%,$(wildcard src/main_*.c)))
TOOLS := $(sort $(patsubst tools/%.c,%,$(wildcard tools/endive-*.c)))
TOOL_SRC := $(sort $(filter-out tools/endive-%.c,$(wildcard tools/*.c)))
UNITS := $(sort $(patsubst tests/unit/%.c,%,$(wildcard tests/unit/*_test.c)))
PROPS := $(sort $(patsubst tests/prop/%.cc,%,$(wildcard tests/prop/*_prop.cc)))
FUZZ := $(sort $(patsubst tests/fuzz/%.c,%,$(wildcard tests/fuzz/*_fuzz.c)))
BENCHES := $(sort $(patsubst bench/%.c,%,$(wildcard bench/*_bench.c)))

LIB = $(B)/libendiveslip.a
SAN_LIB = $(B)/san/libendiveslip.a
PROGS = $(MAINS:%=$(B)/bin/%) $(TOOLS:%=$(B)/bin/%)
SAN_PROGS = $(MAINS:%=$(B)/san/bin/%) $(TOOLS:%=$(B)/san/bin/%)
TESTS = $(UNITS:%=$(B)/san/tests/%) $(PROPS:%=$(B)/san/tests/%) \
        $(FUZZ:%=$(B)/san/tests/%)
C_FILES = $(wildcard src/*.[ch] platform/*.[ch] include/*.h tools/*.[ch] bench/*.[ch] \
          tests/*/*.[ch])
FMT_FILES = $(C_FILES) $(wildcard tests/*/*.cc)

all: $(PROGS)

# What a platform runs; see deploy/system.toml.
daemons: $(B)/bin/endive-gated $(B)/bin/endive-schedd

build-tests: $(TESTS) $(SAN_PROGS) $(PROGS) $(B)/tests/crowd

demo: deps
	$(MAKE) all
	sh tests/system/demo.sh
	sh tests/system/demo_jobs.sh

check: deps
	$(MAKE) -j"$$(nproc)" build-tests
	$(MAKE) lint
	sh tests/run.sh

deps:
	@sh tests/deps.sh

bench: all $(BENCHES:%=$(B)/bench/%)
	@sh bench/run.sh $(BENCHES:%=$(B)/bench/%)

soak: build-tests
	@sh tests/soak.sh

capacity: all $(B)/bench/capacity_probe $(B)/bench/capacity_feed
	@sh bench/capacity.sh

lint: fmt-check charts-check
	@printf '%s\n' $(C_FILES) | grep '\.c$$' | xargs -P "$$(nproc)" -n 4 \
		sh -c 'clang-tidy -quiet "$$@" -- -std=gnu11 $(CPPFLAGS) 2>/dev/null' tidy
	@cppcheck -q --enable=warning,portability --inline-suppr -j "$$(nproc)" \
		--error-exitcode=1 --suppress=missingIncludeSystem \
		--suppress=nullPointerArithmeticRedundantCheck \
		"-DG_DEFINE_EXTENDED_ERROR(a,b)=" \
		"-DTAILQ_FOREACH(v,h,f)=while((v=(h)->tqh_first))" \
		-D_GNU_SOURCE -Iinclude -Isrc -Iplatform src platform tools
	@for m in man/*.[1-8]; do [ ! -f "$$m" ] || mandoc -T lint -W warning "$$m" || exit 1; done
	@echo lint clean

charts:
	@sh charts/embed.sh

charts-check:
	@mkdir -p $(B)
	@sh charts/embed.sh ../$(B)/cht_data.c ../$(B)/CHARTS.md
	@cmp $(B)/cht_data.c src/cht_data.c
	@cmp $(B)/CHARTS.md docs/CHARTS.md

fmt-check:
	@clang-format --dry-run -Werror $(FMT_FILES)

fmt:
	@clang-format -i $(FMT_FILES)

$(B)/obj/%.o: %.c
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -c -o $@ $<

$(B)/san/obj/%.o: %.c
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CC) $(CPPFLAGS) $(CFLAGS) $(SAN) -MMD -c -o $@ $<

$(LIB): $(LIB_SRC:%.c=$(B)/obj/%.o)
	@rm -f $@
	@ar rcs $@ $^

$(SAN_LIB): $(LIB_SRC:%.c=$(B)/san/obj/%.o)
	@rm -f $@
	@ar rcs $@ $^

$(MAINS:%=$(B)/bin/%): $(B)/bin/%: $(B)/obj/src/main_%.o $(LIB)
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(TOOLS:%=$(B)/bin/%): $(B)/bin/%: $(B)/obj/tools/%.o \
		$(TOOL_SRC:%.c=$(B)/obj/%.o) $(LIB)
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(MAINS:%=$(B)/san/bin/%): $(B)/san/bin/%: $(B)/san/obj/src/main_%.o $(SAN_LIB)
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CC) $(CFLAGS) $(SAN) -o $@ $^ $(LIBS)

$(TOOLS:%=$(B)/san/bin/%): $(B)/san/bin/%: $(B)/san/obj/tools/%.o \
		$(TOOL_SRC:%.c=$(B)/san/obj/%.o) $(SAN_LIB)
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CC) $(CFLAGS) $(SAN) -o $@ $^ $(LIBS)

$(B)/bench/%: $(B)/obj/bench/%.o $(LIB)
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(UNITS:%=$(B)/san/tests/%): $(B)/san/tests/%: $(B)/san/obj/tests/unit/%.o \
		$(B)/san/obj/tests/unit/net.o $(SAN_LIB)
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CC) $(CFLAGS) $(SAN) -o $@ $^ $(LIBS) -lcmocka

$(B)/tests/crowd: $(B)/obj/tests/system/crowd.o $(LIB)
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CC) $(CFLAGS) -o $@ $^ $(LIBS)

$(FUZZ:%=$(B)/san/tests/%): $(B)/san/tests/%: $(B)/san/obj/tests/fuzz/%.o $(SAN_LIB)
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CC) $(CFLAGS) $(SAN) -o $@ $^ $(LIBS)

$(PROPS:%=$(B)/san/tests/%): $(B)/san/tests/%: tests/prop/%.cc $(SAN_LIB)
	@mkdir -p $(@D)
	@echo "  $(notdir $@)"
	@$(CXX) $(CPPFLAGS) $(CXXFLAGS) $(SAN) -MMD -MF $@.d -o $@ $< $(SAN_LIB) -lrapidcheck $(LIBS)

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
		$(DESTDIR)$(PREFIX)/include $(DESTDIR)$(PREFIX)/share/man \
		$(DESTDIR)$(PREFIX)/share/doc/endiveslip
	install $(PROGS) $(DESTDIR)$(PREFIX)/bin
	cp -R examples $(DESTDIR)$(PREFIX)/share/doc/endiveslip
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 644 include/*.h $(DESTDIR)$(PREFIX)/include
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' \
		-e 's|@PKGS@|$(PKGS)|' \
		endiveslip.pc.in >$(DESTDIR)$(PREFIX)/lib/pkgconfig/endiveslip.pc
	for m in man/*.[1-8]; do s=$${m##*.}; \
		install -d $(DESTDIR)$(PREFIX)/share/man/man$$s; \
		install -m 644 $$m $(DESTDIR)$(PREFIX)/share/man/man$$s; done

clean:
	rm -rf $(B)

-include $(shell find $(B) -name '*.d' 2>/dev/null)

.PHONY: all daemons build-tests demo check deps bench soak capacity lint charts charts-check fmt-check \
	fmt install clean
.SECONDARY:
