.PHONY: build test lint

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --all --check
	cargo clippy --locked --all-targets -- -D warnings
