CONFIG ?= config.json

.PHONY: build test lint run demo incident recording day kills fleet sweep model releases rig-releases missing health budgets slow-start

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	BALANCER_CONFIG=$(CONFIG) target/release/wharfplank

# Stand-in members, discovery, proxies and a mixed load for a while, on loopback; ends by itself.
demo: build
	target/release/wharfplank lab demo

# A scripted incident: writes target/incident/report.html and report.json and holds them against the script.
incident: build
	target/release/wharfplank lab incident

# A proxy that records beside one that does not: CPU for a request and memory.
recording: build
	target/release/wharfplank lab recording

# A synthetic day of three proxies: bytes of store, time and memory of its report.
day: build
	target/release/wharfplank lab day

# 200 kills of a recording process.
kills: build
	target/release/wharfplank lab kills

# A zone lost under 30 proxies as processes, together and each alone: who leaves it when.
fleet: build
	target/release/wharfplank lab fleet --scenario zone-loss --proxies 30 -o target/fleet
	target/release/wharfplank lab fleet --scenario zone-loss --proxies 30 --alone -o target/fleet-alone

# 200 seeded runs of every hard case, 8 beside each other; takes hours.
sweep: build
	target/release/wharfplank lab sweep --runs 200 --proxies 3 --beside 8

# The model checks with millions of states: the exchange of copies, the leases of budgets, the permits of releases, the closed times.
model:
	cargo test --locked --release -p wharfplank-shared-state --test exchange_model -- --ignored --nocapture
	cargo test --locked --release -p wharfplank-budget -- --ignored --nocapture
	cargo test --locked --release -p wharfplank-rollout --test permits -- --ignored --nocapture
	cargo test --locked --release -p wharfplank-negative-cache --test model -- --ignored --nocapture

# 200 seeded runs of each hard case of a release, 200 clean ones and 200 bad ones, in virtual time.
releases:
	cargo test --locked --release -p wharfplank-rollout --test rollout -- --ignored --nocapture

# 20 seeded runs by processes of each hard case of a release; takes an hour. See tests/rollout_faults.rs for its variables.
rig-releases:
	cargo test --locked --release --test rollout_faults -- --ignored --nocapture

# Known-missing keys in virtual time: 200 seeded runs of each hard case, and what the facts are worth and cost.
missing:
	cargo test --locked --release -p wharfplank-negative-cache --test fault_scenarios --test effectiveness -- --ignored --nocapture --test-threads 1

# How soon a fleet of 300 and 3,000 holds a slow member degraded, in virtual time, and what that costs.
health:
	cargo test --locked --release -p wharfplank-shared-state --test health -- --ignored --nocapture

# Processes that share budgets, eight hard cases by three seeds: what was in force, spent and held, from all logs. BUDGET_CASE,
# BUDGET_RUNS, BUDGET_SEED, BUDGET_PROXIES and BUDGET_BESIDE choose others.
budgets:
	cargo test --locked --release --test budget_faults -- --ignored --nocapture

# 200 draws of each variant of a fleet with members in slow start, in virtual time, on all cores.
slow-start:
	cargo test --locked --release -p wharfplank-routing --test slow_start_fleet -- --ignored --nocapture
