# Targets for developers and CI. Each installs its dependencies and builds first.
BUILD ?= build
JOBS  ?= $(shell nproc)
HOURS ?= 10
SEED  ?= 1
SOURCES = $(shell git ls-files '*.cc' '*.h' | grep -v '/gen-cpp/')
UNITS   = $(filter %.cc,$(SOURCES))

.PHONY: all install build test demo serve bench plots capacity matrix soak lint format check-format tidy clean

all: build

install:
	.ci/install

build: install
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	.ci/test $(BUILD)

format:
	@clang-format-19 -i $(SOURCES)

check-format: install
	@clang-format-19 --dry-run --Werror $(SOURCES)

tidy: build
	@.ci/tidy $(BUILD) --depend
	@printf "%s\n" $(UNITS) | xargs -P $(JOBS) -n 2 .ci/tidy $(BUILD)

lint: check-format tidy

demo: build
	demo/run $(BUILD)

serve: build
	demo/run $(BUILD) --serve

bench: build
	$(BUILD)/policy_bench --out $(BUILD)/bench

# Uses the figures of the last `make bench`.
plots:
	mkdir -p docs/plots
	gnuplot -e "csv='$(BUILD)/bench/policy.csv'; out='docs/plots'" bench/plots.gp

capacity: build
	$(BUILD)/capacity_bench

matrix: build
	$(BUILD)/matrix

soak: build
	$(BUILD)/soak --hours $(HOURS) --seed $(SEED)

clean:
	rm -rf $(BUILD)
