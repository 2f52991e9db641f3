# Everything runs in .venv, made from requirements.lock on first use.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup lint test spec bench demo

setup: .venv/ready

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/ready

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

# Most tests wait for processes that they start, so three at a time need little more processor time.
# Crowds run one at a time, apart from other load.
test: setup lint
	$(BIN)/python -m pytest -n 3 --dist worksteal --ignore tests/crowds
	$(BIN)/python -m pytest tests/crowds

spec: setup
	$(BIN)/hornbeamglade spec check

bench: setup
	$(BIN)/hornbeamglade bench all

demo: setup
	$(BIN)/hornbeamglade demo
