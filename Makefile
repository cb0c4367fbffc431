PYTHON ?= python3
VENV ?= .venv
PY = $(VENV)/bin/python
STAMP = $(VENV)/.installed
SOURCES = src tests bench tools examples

export PYTHONPATH := src

.PHONY: demo test lint format unit bench binary check-histories codes

$(STAMP): requirements.lock
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

demo: $(STAMP)
	bash tools/demo.sh $(PY)

test: lint unit

lint: $(STAMP)
	$(PY) -m ruff format --check $(SOURCES)
	$(PY) -m ruff check $(SOURCES)
	$(PY) -m flake8 $(SOURCES)
	$(PY) -m mypy

format: $(STAMP)
	$(PY) -m ruff format $(SOURCES)
	$(PY) -m ruff check --fix $(SOURCES)

unit: $(STAMP)
	$(PY) -m pytest

bench: $(STAMP)
	$(PY) -m bench $(ARGS)

check-histories: $(STAMP)
	PYTHONPATH=src:tests $(PY) -m histories $(ARGS)

codes: $(STAMP)
	$(PY) -m hibiscussaddle codes > docs/result-codes.md

binary: $(STAMP)
	mkdir -p dist
	$(PY) -m pex . --constraints requirements.lock -c hibiscussaddle \
		-o dist/hibiscussaddle
