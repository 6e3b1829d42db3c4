.PHONY: build test lint run demo prove-ledger bench-ledger prove-opensearch scale sites

build:
	cargo build --release --locked

# Builds the programs first, because some tests start them. SKIP excludes the tests that .ci/known-red runs separately.
test:
	cargo build --locked --workspace
	cargo test --locked --workspace -- --exact $(SKIP)

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --quiet

# Runs a complete installation on loopback until Ctrl-C.
demo: build
	exec target/release/cottonhill-demo

# Runs one mixer with the configuration in BALANCER_CONFIG.
run: build
	exec target/release/cottonhill

# Runs three mixers, injects each kind of failure twice and compares the totals with the queries that the clients sent.
prove-ledger: build
	exec target/release/cottonhill-prove-ledger $(ARGS)

# Measures the cost of the usage log (enabled and disabled) and of a large settlement.
bench-ledger: build
	exec target/release/cottonhill-bench-ledger $(ARGS)

# Runs the same searches through both search fronts and compares each result page with the exact one.
prove-opensearch: build
	exec target/release/cottonhill-prove-opensearch $(ARGS)

# Measures cost against size and writes reports to docs/capacity/: mixers without clients over loopback, then the reducer
# without sockets. ARGS="--against REPORT" compares the latter with an earlier report. Afterwards
# docs/capacity/arithmetic.py --write updates docs/CAPACITY.md.
scale:
	cargo build --release --locked --package cottonhill-lab
	target/release/cottonhill-lab --settings lab/scale.ini hollow
	exec target/release/cottonhill-lab --settings lab/scale.ini scale $(ARGS)

# Copies the files that the bench needs next to a site file to run the project's own deployments; git ignores them.
GIVEN ?= ../given
BESIDE = real.json wire.json unlock.txt
sites:
	@for file in $(BESIDE); do \
		[ -r "$(GIVEN)/kit/sites/$$file" ] || { echo "missing: $(GIVEN)/kit/sites/$$file (GIVEN names the folder)"; exit 1; }; \
	done
	@for file in $(BESIDE); do install -m 644 "$(GIVEN)/kit/sites/$$file" deploy/sites/; done
	@echo "laid beside deploy/sites/*.toml: $(BESIDE)"
