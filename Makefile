# The commands a newcomer needs.  The build itself is CMake's.

PACKAGES = cmake make g++ gcc pkg-config clang clang-format clang-tidy \
	libh2o-dev libuv1-dev libtomlplusplus-dev libtirpc-dev rpcsvc-proto \
	libcurl4-openssl-dev libjansson-dev libxxhash-dev uthash-dev \
	libssl-dev libzstd-dev check libsubunit-dev libbsd-dev mandoc
JOBS != nproc
FUZZ_S ?= 20
SOAK_RUNS ?= 6
SOAK_S ?= 30
PREFIX ?= /usr/local
DESTDIR ?=
OWN_C != git ls-files '*.c' '*.h' '*.cc' 2>/dev/null | grep -v '/generated/'

.PHONY: all setup build mutants check check-asan unit fuzz lint format generate demo bench soak \
	install clean

all: build

# Installs what is missing; says nothing when all is there.
setup:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	    { apt-get update -qq && apt-get install -y -qq $(PACKAGES); }

build: setup
	@cmake --preset release >/dev/null
	@cmake --build --preset release -j $(JOBS)

# Shows that the tests fail when a guard is taken away.
mutants: setup
	regress/mutants.sh

# Everything CI asks for.
check: lint unit check-asan mutants
	@cat KNOWN-RED.txt

unit: build
	ctest --test-dir build/release --output-on-failure -j 4

check-asan: setup
	@cmake --preset asan >/dev/null
	@cmake --build --preset asan -j $(JOBS)
	ctest --test-dir build/asan --output-on-failure -j 4

# Feeds the parsers with mutated bytes, FUZZ_S seconds each.
fuzz: setup
	@cmake --preset fuzz >/dev/null
	@cmake --build --preset fuzz -j $(JOBS)
	regress/fuzz/run.sh $(CURDIR)/build/fuzz $(FUZZ_S)

lint: build
	clang-format --dry-run --Werror $(OWN_C)
	@git ls-files '*.c' | grep -v '/generated/' | \
	    xargs -P $(JOBS) -n 1 clang-tidy --quiet -p build/release 2>&1 | \
	    { ! grep -E '(warning|error):'; }
	@pages=$$(git ls-files '*.[1-9]'); \
	    [ -z "$$pages" ] || mandoc -Tlint -Wwarning $$pages

format:
	clang-format -i $(OWN_C)

# Writes the XDR code anew from the .x files.
generate:
	regress/generate.sh

demo: build
	regress/demo.sh build/release

bench: build
	regress/bench.sh build/release

# Hosts under faults by fresh seeds, SOAK_S seconds each; regress/soak/soak.h.
soak: build
	regress/soak/seeds.sh build/release $(SOAK_RUNS) $(SOAK_S)

install: build
	DESTDIR=$(DESTDIR) cmake --install build/release --prefix $(PREFIX)

clean:
	rm -rf build
