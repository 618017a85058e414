VENV := .venv
BIN := $(VENV)/bin

.PHONY: venv demo test bench capacity lint format clean

venv: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	python3.11 -m venv $(VENV) 2>/dev/null || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: venv
	$(BIN)/spoolcrank demo

test: venv
	$(BIN)/python -m pytest -n 5 --dist worksteal

bench: venv
	$(BIN)/python -m bench

capacity: venv
	$(BIN)/python -m bench.capacity

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
