# Targets of the laburnumpier workspace. All of them create the virtual environment if it is missing.
VENV := .venv
PY := PYTHONHASHSEED=0 $(VENV)/bin/python
PACKAGES := core router operator standins measure

.PHONY: setup test lint format demo measure balance bench check-model slopes soak store-returns

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.txt
	$(VENV)/bin/pip install --quiet --no-build-isolation --no-deps $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

setup: $(VENV)/.installed

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: lint
	PYTHONHASHSEED=0 PYTHONPATH=. $(VENV)/bin/behave --no-capture --format progress features

demo: setup
	$(PY) -m laburnumpier_measure.demo

bench: setup
	$(PY) -m laburnumpier_measure.bench

measure: setup
	$(PY) -m laburnumpier_measure.measure | tee docs/measures.txt
	$(PY) -m laburnumpier_measure.balance | tee -a docs/measures.txt
	$(PY) -m laburnumpier_measure.page docs/measures.txt > docs/MEASURES.md

balance: setup
	$(PY) -m laburnumpier_measure.balance

check-model: setup
	$(PY) -m spec.check --large

slopes: setup
	$(PY) -m laburnumpier_measure.slopes
	$(PY) -m laburnumpier_measure.stream_origin_slopes

store-returns: setup
	$(PY) -m laburnumpier_measure.store_returns

# SOAK holds the flags of the soak, for example SOAK="--seed=7 --runs=3 --seconds=30 --routers=4".
# Without --seed, the first seed is drawn at random. --noframing, --noversions, --noendless, --noconfiguration, --noparts,
# --norequests, --nolimits and --noentries leave a mix out.
SOAK ?= --runs=8 --seconds=15
soak: setup
	$(PY) -m laburnumpier_platform_standin.soak $(SOAK)
