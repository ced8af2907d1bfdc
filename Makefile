# Every target creates .venv and installs what it needs on first use.
PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test lint format model faults soak bench slopes clean

.venv/.installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: .venv/.installed
	$(BIN)/sardinestair-demo

test: .venv/.installed
	$(BIN)/pytest

lint: .venv/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: .venv/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf .venv

model: .venv/.installed
	$(BIN)/python -m model.check

soak: .venv/.installed
	$(BIN)/python -m faults.soak

faults: .venv/.installed
	$(BIN)/python -m faults.run

bench: .venv/.installed
	$(BIN)/python -m benchmarks.bench_suite

slopes: .venv/.installed
	$(BIN)/python -m benchmarks.bench_slopes
