.PHONY: build test lint run sites

# Where the operators' bench lies; only `sites` wants it.
KIT ?= ../given/kit

build: .venv/installed

.venv/installed: requirements.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt .venv/installed
	.venv/bin/python -m compileall -q dahliabend

.venv/dev: .venv/installed requirements-dev.txt
	.venv/bin/pip -q install -r requirements-dev.txt
	touch .venv/dev

test: .venv/dev
	.venv/bin/python -m pytest -q tests --doctest-modules dahliabend

lint: .venv/dev
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

run: build
	exec .venv/bin/python -m dahliabend

sites:  # what the bench wants beside the files in deploy/sites
	install -m 644 -t deploy/sites $(KIT)/more/mass/other/real.json $(KIT)/more/mass/other/wire.json $(KIT)/more/mass/other/unlock.txt
