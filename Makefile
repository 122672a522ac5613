PYTHON ?= python3
BIN := .venv/bin
PACKAGES := $(wildcard packages/*) platform
EDITABLE := $(foreach p,$(PACKAGES),-e $(p))

.PHONY: docs setup demo test lint format bench slopes fuzz soak

setup: .venv/installed

.venv/installed: requirements.txt constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -c constraints.txt -r requirements.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation $(EDITABLE)
	touch $@

lint: setup
	$(BIN)/ruff format --check packages platform tools conftest.py
	$(BIN)/ruff check packages platform tools conftest.py
	$(BIN)/flake8 packages platform tools conftest.py

format: setup
	$(BIN)/ruff check --fix packages platform
	$(BIN)/ruff format packages platform

# Tests in KNOWN-RED.txt fail for faults that are listed there, not mended yet.
KNOWN_RED = $(shell cut -d' ' -f1 KNOWN-RED.txt 2>/dev/null)

test: setup
	@for red in $(KNOWN_RED); do echo "passed over, known to be red: $$red"; done
	$(BIN)/pytest $(addprefix --deselect=,$(KNOWN_RED))

demo: setup
	bash scripts/demo.sh

bench: setup
	$(BIN)/python -m anvilwell_bench all

slopes: setup
	$(BIN)/python -m anvilwell_bench slopes

fuzz: setup
	HYPOTHESIS_PROFILE=fuzz $(BIN)/pytest -m fuzz

SEEDS ?= 5
SOAK ?=

# make soak SEEDS=50, make soak SOAK="--first_seed=11"
soak: setup
	$(BIN)/python -m anvilwell_platform_soak --seeds=$(SEEDS) $(SOAK)

docs: setup
	$(BIN)/python -m anvilwell_daemon.reference docs

relay: setup
	bash scripts/relay.sh
