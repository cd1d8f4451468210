VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install demo test soak check format approve clean

install: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[test]'
	touch $(STAMP)

demo: install
	PYTHONPATH=src $(BIN)/python examples/demo.py

test: install
	PYTHONPATH=src $(BIN)/python -m tests.run

# Gateway processes under random faults; SEEDS, FIRST (0: fresh) and SECONDS may be set.
SEEDS ?= 10
FIRST ?= 0
SECONDS ?= 12
soak: install
	PYTHONPATH=src $(BIN)/python -m experiments.fault_soak --seeds=$(SEEDS) \
		--first=$(FIRST) --seconds=$(SECONDS) --keep_logs=out/soak

check: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf out build .ruff_cache .hypothesis

# Takes what golden tests received as what they expect; read the difference first.
approve:
	for f in tests/golden/*.received.txt; do mv "$$f" "$${f%.received.txt}.approved.txt"; done
