# The virtual environment can be shared between work trees: make test VENV=path
VENV ?= .venv
PYTHON = $(VENV)/bin/python
export PYTHONPATH = src:.

# The bench of the users and its site files: make score FLEETBENCH=path SITES=paths
SITES ?=
WHY ?=

# Seeds of the soak: make soak SOAK_FIRST=1 SOAK_COUNT=50
SOAK_FIRST ?= 1
SOAK_COUNT ?= 3

# What a soak printed, for the report: make report SOAK=path
SOAK ?=

.PHONY: environment check test demo bench plots binary format score hunt soak report

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

soak: environment
	$(PYTHON) -m soak --first $(SOAK_FIRST) --count $(SOAK_COUNT)

report: environment
	$(PYTHON) -m bench.report $(if $(SOAK),--soak $(SOAK))

binary: environment
	$(PYTHON) -m bench.binary

score:
	@test -n "$(FLEETBENCH)" || { echo "set FLEETBENCH to the users' bench"; exit 2; }
	for site in $(SITES); do $(FLEETBENCH) score $$site --why "$(WHY)" || exit; done

hunt:
	@test -n "$(FLEETBENCH)" || { echo "set FLEETBENCH to the users' bench"; exit 2; }
	for site in $(SITES); do $(FLEETBENCH) hunt $$site --why "$(WHY)" || exit; done
