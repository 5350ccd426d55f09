# The virtual environment can be shared between work trees: make test VENV=path
VENV ?= .venv
PYTHON = $(VENV)/bin/python
export PYTHONPATH = src:.

# The bench of the users and its site files: make score FLEETBENCH=path SITES=paths
SITES ?=
WHY ?=

.PHONY: environment check test demo bench plots binary format score hunt

environment: $(VENV)/.installed

$(VENV)/.installed: requirements/development.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --require-hashes -r requirements/development.txt
	touch $(VENV)/.installed

check: environment
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: environment
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: environment
	$(PYTHON) -m pytest

demo: environment
	$(PYTHON) -m bench.demo
	$(PYTHON) -m bench.mesh_demo

bench: environment
	$(PYTHON) -m bench.run

plots: environment
	$(PYTHON) -m bench.plots

binary: environment
	$(PYTHON) -m bench.binary

score:
	@test -n "$(FLEETBENCH)" || { echo "set FLEETBENCH to the users' bench"; exit 2; }
	for site in $(SITES); do $(FLEETBENCH) score $$site --why "$(WHY)" || exit; done

hunt:
	@test -n "$(FLEETBENCH)" || { echo "set FLEETBENCH to the users' bench"; exit 2; }
	for site in $(SITES); do $(FLEETBENCH) hunt $$site --why "$(WHY)" || exit; done
