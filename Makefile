# Sets up a virtual environment from the lock and runs what a developer needs.
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

test: lint
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/bramleybeam demo examples/permit-office/deployment.toml \
		examples/feather-guild/deployment.toml

demo-serve: setup
	$(BIN)/bramleybeam demo --serve examples/permit-office/deployment.toml

.PHONY: setup lint test demo demo-serve
