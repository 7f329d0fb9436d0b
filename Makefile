# berylshunt: top-level targets.  `make help` lists them.
TOP = .
include mk/common.mk
PROGS = $(patsubst %/Makefile,%,$(wildcard bsh*/Makefile))
BENCHES = $(patsubst bench/%/Makefile,bench/%,$(wildcard bench/*/Makefile))
C_FILES = $(wildcard lib/*/*.[ch] platform/*.[ch] bsh*/*.[ch] bench/*/*.[ch] regress/*.[ch] \
		     regress/*/*.[ch])
TIDY_FILES = $(filter %.c,$(C_FILES))
MAN_PAGES = $(wildcard bsh*/*.[1-8] bench/*/*.[1-8] docs/man/*.[1-8])

all: progs

help:
	@echo 'all      build the programs'
	@echo 'check    build and run all tests'
	@echo 'prove    differential proofs of the nine promises'
	@echo 'demo     one cold request and one deposit, end to end'
	@echo 'bench-capacity  control overhead by number of instances'
	@echo 'bench-path  latency and tokens/s through one router'

	@echo 'bench-policy  decisions against fixed keep-alives, virtual clock'
	@echo 'lint     formatter, linters and manual pages'
	@echo 'bench-route, bench-requests  measurements of docs/measurements'
	@echo 'deps     install the Debian packages of packages.txt'

lib:
	@$(MAKE) --no-print-directory -C lib

# What the platform builds: the entry daemon alone.
entry: lib
	@$(MAKE) --no-print-directory -C bshentryd

progs: lib
	@set -e; for p in $(PROGS) $(BENCHES); do \
		$(MAKE) --no-print-directory -C $$p; done

regress: lib
	@$(MAKE) --no-print-directory -C regress all

check: deps-check progs regress
	@sh regress/run_tests.sh $(BUILD)

prove: lib
	@$(MAKE) --no-print-directory -C regress proofs
	@sh regress/run_proofs.sh $(BUILD)

bench-policy: lib
	@$(MAKE) --no-print-directory -C bench/policy
	@$(BUILD)/bench_policy --out docs/measurements
	@$(BUILD)/bench_policy --size

demo: deps-check progs regress
	@sh demo/demo.sh $(BUILD)

# Results are in docs/measurements/.
bench-capacity: lib
	@$(MAKE) --no-print-directory -C bench/capacity
	@$(BUILD)/capacity

bench-path: progs
	@$(MAKE) --no-print-directory -C regress standins
	@$(BUILD)/bench_path $(BUILD)

bench-route: lib
	@$(MAKE) --no-print-directory -C bench/route
	@$(BUILD)/bench-route

bench-requests: lib
	@$(MAKE) --no-print-directory -C bench/requests
	@G_SLICE=always-malloc $(BUILD)/bench-requests

deps:
	apt-get update
	apt-get install -y --no-install-recommends $$(cat packages.txt)

# A fresh machine needs one command: missing packages are installed first.
deps-check:
	@pkg-config --exists $(PKGS) 2>/dev/null || $(MAKE) deps

format:
	clang-format -i $(C_FILES)

lint: lint-format lint-tidy lint-cppcheck lint-json lint-man

lint-format:
	@clang-format --dry-run -Werror $(C_FILES)

lint-tidy:
	@printf '%s\n' $(TIDY_FILES) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- -std=gnu11 $(CPPFLAGS_ALL) \
		2>/dev/null' sh

lint-cppcheck:
	@cppcheck --quiet --library=gtk --error-exitcode=1 --inline-suppr -j 4 \
		--enable=warning,performance,portability \
		--suppress=normalCheckLevelMaxBranches -Ilib $(TIDY_FILES)

# Functions of jansson that fail on text that is not UTF-8; base/json_text.h has those
# to use.
lint-json:
	@! grep -nwE 'json_(dumps|dumpb|dumpf|dumpfd|dump_file|dump_callback|v?pack|v?pack_ex|v?sprintf|stringn?(_nocheck)?|string_setn?(_nocheck)?|object_set(_new)?_nocheck)' \
		$(filter-out lib/base/json_text.c,$(wildcard lib/*/*.c platform/*.c \
		bsh*/*.c))

lint-man:
	@for m in $(MAN_PAGES); do mandoc -Tlint -Wwarning $$m || exit 1; done

clean:
	rm -rf $(BUILD)

.PHONY: all help lib entry progs regress check prove demo bench-capacity deps deps-check format bench-path \
	lint lint-format lint-tidy lint-cppcheck lint-json lint-man clean bench-route bench-requests bench-policy
