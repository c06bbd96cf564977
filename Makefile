# Two commands for a newcomer: `make demo` and `make test`.
VENV := .venv
BIN := $(VENV)/bin
# One of them runs all tests that open sockets or start processes.
TEST_PROCESSES := 3

$(VENV)/.installed: requirements.lock pyproject.toml
	python3.11 -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $@

.PHONY: demo test faults bench format
demo: $(VENV)/.installed
	$(BIN)/python scripts/demo.py

test: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy --strict
	PYTHONPATH=platform $(BIN)/lint-imports
	$(BIN)/pytest -n $(TEST_PROCESSES) --dist loadgroup -m "not alone"
	$(BIN)/pytest -m alone

faults: $(VENV)/.installed
	$(BIN)/python scripts/faults.py

bench: $(VENV)/.installed
	$(BIN)/python scripts/bench.py

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
