PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: setup test demo format

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps -e .
	touch $(STAMP)

test: setup
	$(VENV)/bin/python -m tools.verify

demo: setup
	$(VENV)/bin/python -m tools.demo

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
