# Entry points for people; the build itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install configure test demo bench format lint clean
all: configure
	cmake --build $(BUILD) -j $(JOBS)

install:
	.ci/install

configure: install
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD)-configure.log || { cat $(BUILD)-configure.log; exit 1; }
	@rm -f $(BUILD)-configure.log

test: all
	@.ci/test $(BUILD)

demo: all
	$(BUILD)/bin/damask_demo

bench: all
	@.ci/bench $(BUILD)

format:
	.ci/format fix

lint: configure
	.ci/lint $(BUILD)

clean:
	rm -rf $(BUILD)
