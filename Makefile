.PHONY: build test lint run demo prove-ledger bench-ledger prove-opensearch

build:
	cargo build --release --locked

# The programs first: the proofs start them.
test:
	cargo build --locked --workspace
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

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
