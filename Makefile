.PHONY: build test lint run demo prove-ledger bench-ledger prove-opensearch scale sites

build:
	cargo build --release --locked

# The programs first: the proofs start them. SKIP is for tests that .ci/known-red runs apart.
test:
	cargo build --locked --workspace
	cargo test --locked --workspace -- --exact $(SKIP)

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps --quiet

# A whole installation on loopback, until Ctrl-C.
demo: build
	exec target/release/cottonhill-demo

# One mixer with the configuration that BALANCER_CONFIG names.
run: build
	exec target/release/cottonhill

# Three mixers, two of everything that can go wrong, and the totals set beside what the clients sent.
prove-ledger: build
	exec target/release/cottonhill-prove-ledger $(ARGS)

# The log on against off, and the settlement at size.
bench-ledger: build
	exec target/release/cottonhill-bench-ledger $(ARGS)

# The same searches through both fronts, each page against the exact one.
prove-opensearch: build
	exec target/release/cottonhill-prove-opensearch $(ARGS)

# Cost against size into docs/capacity/: mixers without clients over loopback, then the reducer without sockets.
# ARGS="--against REPORT" compares the latter. Then docs/capacity/arithmetic.py --write renews docs/CAPACITY.md.
scale:
	cargo build --release --locked --package cottonhill-lab
	target/release/cottonhill-lab --settings lab/scale.ini hollow
	exec target/release/cottonhill-lab --settings lab/scale.ini scale $(ARGS)

# What the bench wants beside a site file, for a play of the project's own deployments; git ignores it.
GIVEN ?= ../given
BESIDE = real.json wire.json unlock.txt
sites:
	@for file in $(BESIDE); do \
		[ -r "$(GIVEN)/kit/sites/$$file" ] || { echo "missing: $(GIVEN)/kit/sites/$$file (GIVEN names the folder)"; exit 1; }; \
	done
	@for file in $(BESIDE); do install -m 644 "$(GIVEN)/kit/sites/$$file" deploy/sites/; done
	@echo "laid beside deploy/sites/*.toml: $(BESIDE)"
