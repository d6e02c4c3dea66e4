# Targets for a new machine with Python 3.11, pip and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := kernel coord router ctl testbed
EDITABLE := $(foreach p,$(PACKAGES),-e packages/$(p))
OUT ?= out/bench.json
SEEDS ?= 10

.PHONY: setup lint format test demo playground model faults bench slopes soak

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt requirements-dev.txt \
		$(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation \
		$(EDITABLE)
	touch $@

lint: setup
	$(BIN)/ruff format --check packages platform tools examples
	$(BIN)/flake8 packages platform tools examples

format: setup
	$(BIN)/ruff format packages platform tools examples

test: setup
	$(BIN)/python tools/run_tests.py

demo: setup
	$(BIN)/python -m paddle_testbed.demo

model: setup
	$(BIN)/python -m paddle_testbed.model

faults: setup
	$(BIN)/python -m paddle_testbed.faults

bench: setup
	$(BIN)/python -m paddle_testbed.bench --out=$(OUT)

soak: setup
	$(BIN)/python -m paddle_testbed.soak --regressions --count=$(SEEDS)

slopes: setup
	$(BIN)/python -m paddle_testbed.slopes

playground: setup
	$(BIN)/python -m paddle_testbed.playground
