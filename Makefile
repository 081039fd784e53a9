# Every target does its own set-up, also on a fresh machine.

BUILD_DIR ?= build
JOBS ?= $(shell nproc)
SOURCES := $(shell git ls-files '*.cc' '*.h')

.PHONY: setup build test demo run bench format check-format lint clean

setup:
	@scripts/install-packages

build: setup
	@cmake -G Ninja -S . -B $(BUILD_DIR) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@ninja -C $(BUILD_DIR) -j $(JOBS)

test: build
	@scripts/run-tests $(BUILD_DIR)

demo: build
	@$(BUILD_DIR)/tests/demo/demo

run: build
	@$(BUILD_DIR)/tests/demo/demo --keep

bench: build
	@scripts/run-bench $(BUILD_DIR)

format: setup
	@clang-format -i $(SOURCES)

check-format: setup
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@scripts/lint $(BUILD_DIR)

clean:
	@rm -rf build build-*
