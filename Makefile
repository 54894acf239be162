.DEFAULT_GOAL := help
PY := .venv/bin/python
DEPLOYMENT ?= buzulip
STEPS ?= 200000
SEEDS ?= 5
SECONDS ?= 20
HOSTS ?= 5

.PHONY: help setup demo test lint format pins dist soak-claims soak soak-seeds soak-checks counts capacity bench-hop bench-choice bench-claims bench-members

help: ## List the targets
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | awk -F ':.*## ' '{printf "  make %-14s %s\n", $$1, $$2}'

.venv/ready: requirements/run.txt requirements/dev.txt pyproject.toml
	python3 -m venv .venv
	$(PY) -m pip install --quiet --requirement requirements/dev.txt
	$(PY) -m pip install --quiet --no-deps --editable .
	touch $@

setup: .venv/ready ## Make the virtual environment with the pinned requirements

demo: setup ## Run a deployment on loopback for some seconds (DEPLOYMENT=buzulip|karoo)
	$(PY) -m peridottrack demo --deployment $(DEPLOYMENT)

test: lint ## Run formatter, linter, type checker and all tests
	$(PY) -m pytest

lint: setup ## Check format, lint and types
	$(PY) -m black --check --quiet peridottrack tests bench
	$(PY) -m ruff check --quiet peridottrack tests bench
	$(PY) -m mypy

format: setup ## Format the code
	$(PY) -m ruff check --fix --quiet peridottrack tests bench
	$(PY) -m black --quiet peridottrack tests bench

pins: ## Make the pinned requirements again from the .in files
	.venv/bin/pip install --quiet pip-tools
	cd requirements && ../.venv/bin/pip-compile --quiet --strip-extras --no-emit-index-url --no-emit-trusted-host --no-emit-find-links --no-header --no-annotate -o run.txt run.in
	cd requirements && ../.venv/bin/pip-compile --quiet --strip-extras --no-emit-index-url --no-emit-trusted-host --no-emit-find-links --no-header --no-annotate -o dev.txt dev.in

dist: setup ## Build the program as one file in dist/
	$(PY) -m bench.dist

soak-claims: setup ## Run the claim state machine longer (STEPS=number of fault steps)
	PERIDOTTRACK_CLAIM_STEPS=$(STEPS) $(PY) -m pytest tests/test_claim_machine.py

soak: setup ## Play the fault soak (SEEDS, SECONDS, HOSTS; SEED=the first one)
	cd tests && ../$(PY) -m soak --seeds $(SEEDS) --seconds $(SECONDS) --hosts $(HOSTS) $(if $(SEED),--seed $(SEED) --seeds 1)

soak-seeds: setup ## Play the seeds again that ever failed
	cd tests && ../$(PY) -m soak --listed

soak-checks: setup ## Check that the soak finds each broken node on more than half of five seeds
	cd tests && ../$(PY) -m soak.broken --list | xargs -P 4 -I NAME ../$(PY) -m soak --quiet --seeds 5 --seed 1 --hosts 4 --seconds 20 --broken NAME

counts: setup ## Count code, tests and the share of the decision logic
	$(PY) -m bench.counts

capacity: setup ## Measure the slopes of docs/CAPACITY.md again
	$(PY) -m bench.capacity

bench-hop: setup ## Added latency, processor time and memory of one node
	$(PY) -m bench.hop

bench-choice: setup ## The choice of an instance against its baselines, in virtual time
	$(PY) -m bench.choice

bench-claims: setup ## Keyed calls: added latency, claims a second, writes a claim
	$(PY) -m bench.claims

bench-members: setup ## Membership and spread at 16 to 1,100 nodes, in virtual time
	$(PY) -m bench.members
