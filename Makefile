# Commands of the project; the README names the two that a newcomer needs.

PYTHON ?= python3
BIN := .venv/bin
SEED ?= 1

.PHONY: run test fuzz bench lint format binary smoke clean

run: .venv/ready
	$(BIN)/tanagerloft trial

test: .venv/ready
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -n auto --dist worksteal

EXAMPLES ?= 2000
fuzz: .venv/ready
	EXAMPLES=$(EXAMPLES) $(BIN)/python -m pytest tests/fuzz

bench: .venv/ready
	$(BIN)/tanagerloft bench limits

lint: .venv/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: .venv/ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

binary: .venv/ready
	mkdir -p dist
	$(BIN)/shiv --quiet --reproducible --root /dev/shm/tanagerloft \
	  --python "/usr/bin/env python3" --output-file dist/tanagerloft \
	  --console-script tanagerloft . -r requirements.txt

smoke: binary
	$(BIN)/python scripts/smoke.py dist/tanagerloft

.venv/ready: requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/ready

clean:
	rm -rf .venv build dist *.egg-info
