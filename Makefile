VENV := .venv
PYTHON := $(VENV)/bin/python
DEPLOYMENT ?= cedarwake
RUNS ?= 20
SEEDS ?= 50
SEED ?= 1
CASE ?=

.PHONY: test format demo measure faults random process-faults soak experiment

$(VENV)/ready: pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $@

test: $(VENV)/ready
	$(VENV)/bin/black --check --quiet skylarksill platform standins bench features examples
	$(VENV)/bin/ruff check --quiet skylarksill platform standins bench features examples
	$(PYTHON) -m bench.features

format: $(VENV)/ready
	$(VENV)/bin/black --quiet skylarksill platform standins bench features examples
	$(VENV)/bin/ruff check --fix --quiet skylarksill platform standins bench features examples

demo: $(VENV)/ready
	$(PYTHON) -m bench.demo --deployment $(DEPLOYMENT)

measure: $(VENV)/ready
	$(PYTHON) -m bench.measure $(if $(CASE),--case $(CASE))

faults: $(VENV)/ready
	$(PYTHON) -m bench.faults

random: $(VENV)/ready
	$(PYTHON) -m bench.random_runs --runs $(RUNS) --seed $(SEED)

process-faults: $(VENV)/ready
	$(PYTHON) -m bench.process_faults --deployment $(DEPLOYMENT)

soak: $(VENV)/ready
	$(PYTHON) -m bench.soak --seed $(SEED) --seeds $(SEEDS)

experiment: $(VENV)/ready
	$(PYTHON) -m bench.experiment --chart docs/policies.svg
