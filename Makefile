# Two commands serve a newcomer: `make run` and `make test`. Both make the
# virtual environment and the model checker that they need.

SHELL := /bin/bash
.SHELLFLAGS := -euo pipefail -c
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
NAMES := decisions exchange callers upstreams peers stores operators daemon
SOURCES := $(foreach name,$(NAMES),packages/$(name)/src)
CODE := packages platform tests measure
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(abspath $(SOURCES) platform tests measure))
export PYTHONDONTWRITEBYTECODE := 1
export PYTHONHASHSEED := 0

.PHONY: setup spin run test format format-check lint types tests tests-inside \
	tests-processes tests-clients soak model \
	model-mutants measure measure-quick slopes wire requirements clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements/develop.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements/develop.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation --no-index \
		$(foreach name,$(NAMES),-e packages/$(name))
	touch $@

spin:
	command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin; }

run: setup
	$(BIN)/python -m demonstration.main

# The checks that run no process come first, side by side; then the tests
# that wait for processes run beside those that do not. Those that press on
# a process run alone.
test: setup
	$(MAKE) -j4 --output-sync=target format-check lint types model
	$(MAKE) -j2 --output-sync=target tests-inside tests-processes
	$(MAKE) tests-clients

format: setup
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

format-check: setup
	$(BIN)/ruff format --check $(CODE)

lint: setup
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)

types: setup
	$(BIN)/mypy $(foreach name,$(NAMES),packages/$(name)/src/dragonflyknot) platform/adapter measure tests

tests: setup
	$(BIN)/pytest tests

tests-inside: setup
	$(BIN)/pytest tests/unit tests/platform

tests-processes: setup
	$(BIN)/pytest tests/integration tests/soak

tests-clients: setup
	$(BIN)/pytest tests/clients

# Random faults against a small site: make soak SEED=7 MINUTES=2 SEEDS=10
SEED ?= 1
SEEDS ?= 1
MINUTES ?= 0.5
soak: setup
	$(BIN)/python -m soak.main --seed $(SEED) --seeds $(SEEDS) --minutes $(MINUTES)

model: spin
	$(PYTHON) models/check.py

model-mutants: spin
	$(PYTHON) models/check.py --mutants

measure: setup
	$(BIN)/python -m experiments.main

measure-quick: setup
	$(BIN)/python -m experiments.main --quick

slopes: setup
	$(BIN)/python -m slopes.main

# Regenerates the committed gRPC code from the .proto file.
wire: setup
	cd packages/peers/src && PATH="$(abspath $(BIN)):$$PATH" python -m grpc_tools.protoc \
		-I. --python_out=. --pyi_out=. --grpclib_python_out=. \
		dragonflyknot/peers/wire/control.proto

# Pins every dependency with its hashes and without index addresses.
requirements: setup
	for name in platform runtime develop; do \
		$(BIN)/pip-compile -q --generate-hashes --allow-unsafe --no-header \
		--no-emit-index-url --no-emit-find-links --no-emit-trusted-host \
		--strip-extras -o requirements/$$name.txt requirements/$$name.in; \
	done

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis measure/out
