CONFIG ?= config.json

.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

run: build
	BALANCER_CONFIG=$(CONFIG) target/release/wharfplank
