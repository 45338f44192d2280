VENV ?= .venv
PYTHON ?= python3
PY = $(VENV)/bin/python

# These give the same figures on every run.
DETERMINISTIC = bench_limits bench_rate_limits bench_retries bench_routing

.PHONY: help setup demo test lint format bench bounds mutants fuzz binary soak \
  experiment ablation

help: ## List the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | \
	  awk -F':.*## ' '{printf "%-10s %s\n", $$1, $$2}'

$(VENV)/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install -q -r requirements-dev.txt
	@touch $@

setup: $(VENV)/.ready ## Make the virtual environment from pinned versions

test: setup ## Run tests and doctests
	$(PY) -m pytest

lint: setup ## Check format and style
	$(PY) -m ruff format --check .
	$(PY) -m flake8

format: setup ## Format the sources
	$(PY) -m ruff format .

demo: setup ## Show the whole path on stand-ins
	$(PY) -m standins.demo

bounds: setup ## Run the benchmarks whose figures never vary
	$(PY) -m benchmarks $(DETERMINISTIC)

bench: setup ## Run all benchmarks; fails past their bounds
	$(PY) -m benchmarks

binary: setup ## Build the product as one file, dist/catkinshunt
	$(PY) -m bundle

fuzz: setup ## Fuzz the readers of what comes over a socket for longer
	FUZZ_EXAMPLES=3000 FUZZ_REPLIES=35000 $(PY) -m pytest \
	  catkinshunt/tests/test_fuzz.py catkinshunt/gateway/tests/test_reply_fuzz.py

SEED ?= 1
SEEDS ?= 5
DURATION_S ?= 20
SIDECARS ?= 4

soak: setup ## Run the platform's programs under faults, seed by seed
	$(PY) -m standins.soak --seed=$(SEED) --seeds=$(SEEDS) \
	  --duration_s=$(DURATION_S) --sidecars=$(SIDECARS)

SCENARIO ?= examples/experiments/burst.json

experiment: setup ## Play SCENARIO against the model; draw load.svg
	$(PY) -m catkinshunt experiment $(SCENARIO) --plot=load.svg

ablation: setup ## Show what each mechanism is worth by switching it off
	$(PY) -m benchmarks.ablation

mutants: setup ## Remove each guard of docs/proofs.md and show its proof fail
	$(PY) -m benchmarks.mutants
