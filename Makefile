# Creates a virtual environment from the lock file and runs development tasks.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

$(VENV)/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps -e .
	touch $@

setup: $(VENV)/ready

lint: setup
	$(BIN)/ruff format --check bramleybeam tests benchmarks
	$(BIN)/flake8 bramleybeam tests benchmarks
	$(BIN)/mypy bramleybeam

# Builds a single executable file, which unpacks itself into SHIV_ROOT and runs
# as one process.
build/bramleybeam: $(VENV)/ready $(shell find bramleybeam -name '*.py' -o -name '*.thrift')
	mkdir -p build
	$(BIN)/shiv -q --compressed -c bramleybeam -p '/usr/bin/env python3.11' \
		-o $@ -r requirements-runtime.lock .

binary: build/bramleybeam

test: lint binary
	$(BIN)/python -m pytest

reference: setup
	$(BIN)/bramleybeam ctl reference settings > docs/operations/settings.md
	$(BIN)/bramleybeam ctl reference errors > docs/operations/errors.md

chaos: setup
	$(BIN)/python -m benchmarks.chaos

# Runs many gateways and callers with injected faults, for example with
# SOAK="--first 100 --seeds 50 --at-once 4".
soak: setup
	$(BIN)/python -m tests.soak $(SOAK)

demo: setup
	$(BIN)/bramleybeam demo examples/permit-office/deployment.toml \
		examples/feather-guild/deployment.toml

demo-serve: setup
	$(BIN)/bramleybeam demo --serve examples/permit-office/deployment.toml

.PHONY: chaos soak setup reference binary lint test demo demo-serve
