# Each target sets up a virtual environment of its own; nothing is global.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
STAMP := $(VENV)/.installed

# The users' bench, where it is present: BENCH=PATH SITE=PATH WHY=TEXT.
BENCH ?=
SITE ?=
DAYS ?= 40
WHY ?=

# The sites that a change must not make worse, below SYSTEM, the directory of the
# users' pages. Larger and newer sites replace the oldest ones; the last figures
# of sites/crfo-balance and sites/kalnins-quotes stay in docs/MEASUREMENTS.md.
SYSTEM ?=
REGRESSION_SITES := further/magnolia-rind.toml \
	further-grown/magnolia-rind-grown.toml large/crfo-balance-large.toml \
	grown/crfo-balance-grown.toml grown/kalnins-quotes-grown.toml \
	shifted/crfo-balance-now-grown.toml demands/armor-conf-grown.toml \
	demands/sml-heredia-grown.toml

.PHONY: test demo trial check format measure measure-flows measure-requests \
	measure-config measure-forward measure-slopes measure-tagged_flows thrift lock \
	bench bench-quiet bench-score bench-hunt bench-regression soak

test: $(STAMP)
	$(BIN)/python -m pytest

demo: $(STAMP)
	$(BIN)/python -m sapphire_lab.demo.main

# The same deployments under kills, freezes, store outages and races.
trial: $(STAMP)
	$(BIN)/python -m sapphire_lab.demo.main --faults

bench:
	@test -n "$(BENCH)" && test -x "$(BENCH)" || { \
	  echo "The users' bench is not here; give its path with BENCH=PATH."; \
	  exit 1; }
	@test -n "$(SITE)" || { echo "Give a site file with SITE=PATH."; exit 1; }
	@test -n "$(WHY)" || { echo "Say with WHY=TEXT what the run is for."; exit 1; }

bench-quiet: bench
	$(BENCH) run $(SITE) quiet-1 --why "$(WHY)"

bench-score: bench
	$(BENCH) score $(SITE) --why "$(WHY)"

# Two days at a time, so that the largest site stays within half of the memory.
bench-regression:
	@test -n "$(SYSTEM)" || { echo "Give SYSTEM=DIRECTORY."; exit 1; }
	@test -n "$(WHY)" || { echo "Say with WHY=TEXT what the run is for."; exit 1; }
	for site in $(REGRESSION_SITES); do \
	  $(BENCH) score $(SYSTEM)/$$site --quick --jobs 2 --why "$(WHY)" || exit 1; \
	done

bench-hunt: bench
	$(BENCH) hunt $(SITE) --days $(DAYS) --why "$(WHY)"

# Real host processes under overlapping faults: SEEDS=1-50 FAULTS=20 HOSTS=4.
# With FORMER=COMMIT, hosts run the code of that commit by turns.
SEEDS ?= 1-5
FAULTS ?= 20
HOSTS ?= 4
FORMER ?=
FORMER_ROOT := build/former-$(FORMER)

soak: $(STAMP)
	test -z "$(FORMER)" || test -d $(FORMER_ROOT) || { \
	  mkdir -p $(FORMER_ROOT) && \
	  git archive $(FORMER) | tar -x -C $(FORMER_ROOT); }
	cd platform && ../$(BIN)/python -m sapphire_platform_lab.soak.main \
	  --seeds $(SEEDS) --faults $(FAULTS) --hosts $(HOSTS) \
	  $(if $(FORMER),--former ../$(FORMER_ROOT))

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages platform

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

measure: measure-flows measure-requests measure-config measure-forward \
	measure-slopes

measure-flows measure-requests measure-config measure-forward \
	measure-slopes measure-tagged_flows: measure-%: $(STAMP)
	$(BIN)/python -m sapphire_lab.$*.measure --seed $(SEED)

# Regenerates the committed thrift code; needs the thrift compiler 0.17 or newer.
thrift:
	rm -rf packages/wire/sapphire_wire/gen
	mkdir -p packages/wire/sapphire_wire/gen
	for idl in packages/wire/idl/*.thrift; do \
	  thrift --gen py:package_prefix=sapphire_wire.gen. \
	    -out packages/wire/sapphire_wire/gen $$idl; done
	find packages/wire/sapphire_wire/gen -name '*-remote' -delete

# Resolves again; the lock holds versions and hashes and names no index.
lock:
	$(BIN)/uv lock
	$(BIN)/uv export --all-groups --no-emit-workspace --no-header \
	  --no-annotate --format requirements-txt -o requirements.lock
	$(BIN)/uv export --only-group platform --no-header --no-annotate \
	  --format requirements-txt -o deploy/requirements.lock

$(STAMP): requirements.lock pyproject.toml $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet uv==0.13.9
	$(BIN)/uv pip install --quiet --python $(BIN)/python --require-hashes \
	  -r requirements.lock
	$(BIN)/uv pip install --quiet --python $(BIN)/python --no-deps \
	  $(foreach p,$(wildcard packages/*/pyproject.toml),-e $(dir $(p)))
	touch $(STAMP)
