# The tasks of gaphub; README.md says what each part is.
.PHONY: build demo test lint run sites scale scale-report

build:
	cmp -s requirements.txt .venv/made || (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/made)
	.venv/bin/python -m compileall -q gaphub

.dev/made: $(wildcard requirements*.txt)
	python3 -m venv .dev
	.dev/bin/pip install --quiet -r requirements-dev.txt
	cat requirements*.txt > .dev/made

demo: .dev/made
	.dev/bin/python -m gaphub lab demo

test: .dev/made
	bash .ci/test

lint: .dev/made
	.dev/bin/ruff check .
	.dev/bin/mypy

# A short scale run, under a minute; its points are appended to POINTS.
POINTS ?= found/scale.jsonl
scale: .dev/made
	.dev/bin/python -m gaphub lab scale run deploy/scale/short.toml --out $(POINTS)

scale-report: .dev/made
	.dev/bin/python -m gaphub lab scale report $(POINTS) --out found/scale

run: build
	exec .venv/bin/python -m gaphub

# What the bench wants beside a site, from the operators' kit; it stays out of the repository.
KIT ?= ../given/kit
sites:
	for site in deploy/sites/*/; do cp $(KIT)/more/mass/other/*.json $(KIT)/more/mass/other/unlock.txt $$site; done
