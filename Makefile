# Every target sets up what it needs; nothing has to be installed before.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := cardamommill tests tools

.PHONY: run test check format lock generate binary pages bench prove capacity clean

$(STAMP): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

run: $(STAMP)
	$(BIN)/python -m cardamommill demo

test: $(STAMP)
	$(BIN)/python -m pytest -n 6 --dist loadgroup

SEEDS ?= 6
EXAMPLES ?= 60
STEPS ?= 60

prove: $(STAMP)
	$(BIN)/python tests/prove.py --seeds $(SEEDS) --examples $(EXAMPLES) \
	  --steps $(STEPS)

bench: $(STAMP)
	$(BIN)/python -m cardamommill bench

capacity: $(STAMP)
	$(BIN)/python -m tests.capacity

check: $(STAMP)
	$(BIN)/yapf --diff --recursive --parallel $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff check --fix --quiet $(SOURCES) || true
	$(BIN)/yapf --in-place --recursive --parallel $(SOURCES)

lock:
	rm -rf .venv-lock && $(PYTHON) -m venv .venv-lock
	.venv-lock/bin/pip install --quiet -r requirements-dev.txt
	(echo "# Made by 'make lock' from requirements-dev.txt."; \
	  .venv-lock/bin/pip freeze) > requirements.lock
	rm -rf .venv-lock

binary: $(STAMP)
	$(BIN)/python tools/pack.py dist/cardamommill

pages: $(STAMP)
	$(BIN)/python -m tools.pages

generate: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	  cardamommill/peer.proto

clean:
	rm -rf $(VENV) dist .mypy_cache .ruff_cache .hypothesis
