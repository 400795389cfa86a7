# Everything a fresh machine needs: `make demo` and `make test`.

.PHONY: build demo test lint setup fuzz-long fleet-long soak measure client-test

setup:
	@scripts/setup

build: setup
	cargo build --workspace --all-targets

demo: setup
	cargo build --workspace --bins
	target/debug/demo

lint: setup
	cargo fmt --all --check
	cargo clippy --workspace --all-targets -- -D warnings

test: lint
	scripts/test

# The same fuzz tests as `make test` with many more cases.
fuzz-long: setup
	ARBUTUSFOLD_FUZZ_CASES=20000 cargo test --release -p arbutusfold-fuzz

# The measured decisions, as a table.
measure: setup
	cargo run --release -p arbutusfold-bench --bin arbutusfold-bench

# Kill, freeze and replace each of nine nodes in turn under load.
fleet-long: setup
	cargo build --workspace --bins
	ARBUTUSFOLD_FLEET_ROUNDS=9 cargo test -p arbutusfold-standin --test fleet_kill --test fleet_stop -- --test-threads 1 --nocapture

# Fifty seeds of randomised faults against gateway processes.
soak: setup
	cargo build --workspace --bins
	target/debug/arbutusfold-soak --first 1000 --seeds 50

# An ordinary client library against a fleet of processes; needs Python.
client-test: setup
	cargo build --workspace --bins
	python3 -m venv target/client
	target/client/bin/pip install --quiet openai
	CLIENT_PYTHON=$(CURDIR)/target/client/bin/python cargo test -p arbutusfold-standin --test fleet_client -- --ignored --nocapture
