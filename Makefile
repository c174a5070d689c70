.DEFAULT_GOAL := help
.PHONY: help format lint imports types unit soak test

SEEDS ?= 50
FIRST ?= 1
SECONDS ?= 20
JOBS ?= 3

help: ## list the targets
	@sed -nE 's/^([a-z]+):.*## (.*)/make \1\t\2/p' $(MAKEFILE_LIST) | expand -t 16

format: ## rewrite the sources in the formatter's style, imports sorted
	ruff check --select I --fix .
	ruff format .

lint: ## check style, format and dead code
	ruff check .
	ruff format --check .
	vulture

imports: ## check the contracts between packages (pyproject.toml, importlinter)
	lint-imports --no-cache

types: ## check the types
	mypy

unit: ## run the tests alone
	python -m pytest

soak: ## run the router's process under faults; SEEDS, FIRST, SECONDS and JOBS change how much
	python -m tests.soak --seeds $(SEEDS) --first $(FIRST) --seconds $(SECONDS) --jobs $(JOBS)
	python -m tests.soak --seeds $(SEEDS) --first $(FIRST) --seconds $(SECONDS) --jobs $(JOBS) --floods
	python -m tests.soak --seeds $(SEEDS) --first $(FIRST) --seconds $(SECONDS) --jobs $(JOBS) --system-calls

test: lint imports types unit ## run all checks, as CI does
