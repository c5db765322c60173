PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := src standins tests tools deploy

.PHONY: setup format check-format lint types test demo bench capacity clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

format: setup
	$(BIN)/ruff check --select I --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

check-format: setup
	$(BIN)/ruff format --check $(SOURCES)

lint: setup
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

types: setup
	$(BIN)/mypy

test: setup
	HYPOTHESIS_PROFILE=ci $(BIN)/python -m tools.grouped_tests

demo: setup
	$(BIN)/python -m tools.demo
	$(BIN)/python -m tools.demo_platform

bench: setup
	$(BIN)/python -m tools.bench

capacity: setup
	$(BIN)/python -m tools.capacity

clean:
	rm -rf $(VENV) build dist
