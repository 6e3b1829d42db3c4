.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --all --check
	cargo clippy --locked --all-targets -- -D warnings

# One mixer with the configuration that BALANCER_CONFIG names.
run: build
	exec target/release/cottonhill
