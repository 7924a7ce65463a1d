# The tasks of gaphub; README.md says what each part is.
.PHONY: build test lint run

build:
	test -x .venv/built || (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt && ln -sf bin/python .venv/built)

.dev/built:
	python3 -m venv .dev
	.dev/bin/pip install --quiet -r requirements-dev.txt
	ln -sf bin/python .dev/built

test: .dev/built
	bash .ci/test

lint: .dev/built
	.dev/bin/ruff check .
	.dev/bin/mypy

run: build
	exec .venv/bin/python -m gaphub
