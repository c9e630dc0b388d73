# Build, test, lint and run. `.ci/run` is all but the last.
.PHONY: build test lint run rehearse bench-node bench-model prove-membership standing

build:
	cargo build --release --locked
	cargo build --release --locked -p pearfront-cli

# `cargo test --workspace --locked`, but for what KNOWN-RED.txt lists; the short soak passes over its seeds the same way.
test:
	.ci/known-red

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# One node; the variables may be given, as in `make run ROUTER_LISTEN=127.0.0.1:9443`.
run: export ROUTER_NAME ?= n0
run: export ROUTER_LISTEN ?= 127.0.0.1:8443
run: export ROUTER_DISCOVERY ?= 127.0.0.1:8500
run: export ROUTER_CONFIG ?= deploy/example.json
run: build
	target/release/pearfront-node

# A play in simulated time, as in `make rehearse SCENARIO=rehearsals/lost-zone.toml`.
SCENARIO ?= rehearsals/calm-minute.toml
rehearse:
	cargo run --release --locked -p pearfront-cli -- rehearse $(SCENARIO)

# What one node carries on one core, beside a straight relay; some two minutes. Not part of the tests.
bench-node: build
	cargo bench --locked -p pearfront-emulator --bench node

# How soon a process is ready, by what discovery does, alone, thirty at once, behind a kill and in a hand-over; some minutes.
.PHONY: bench-readiness
bench-readiness: build
	cargo bench --locked -p pearfront-emulator --bench readiness

# What a play in simulated time costs with size; some minutes.
bench-model:
	cargo bench --locked -p pearfront-emulator --bench model

# What a thousand duties cost whoever leads; some seconds.
.PHONY: bench-duties
bench-duties:
	cargo bench --locked -p pearfront-scale --bench duties

# What a change costs a distributor and a node, by subscribers, servers and services; some seconds.
.PHONY: bench-distribute
bench-distribute:
	cargo bench --locked -p pearfront-emulator --bench distribute

# Membership by seed in simulated time: storms at three sizes, and how soon a killed process is found. Some ten minutes.
SEEDS ?= 1000
prove-membership:
	cargo build --release --locked -p pearfront-cli
	for instances in 5 16 32; do \
		target/release/pearfront prove membership --seeds $(SEEDS) --instances $$instances || exit; done
	for instances in 5 16 32 100; do \
		target/release/pearfront prove membership --calm --seeds 100 --instances $$instances || exit; \
		target/release/pearfront prove membership --calm --proof --seeds 100 --instances $$instances || exit; done
	target/release/pearfront prove membership --calm --seeds 3 --instances 1000

# The replicated log by seed, with and without disks that forget. Some minutes.
.PHONY: prove-consensus
prove-consensus:
	cargo build --release --locked -p pearfront-cli
	for voters in 3 5; do \
		target/release/pearfront prove consensus --seeds $(SEEDS) --voters $$voters || exit; \
		target/release/pearfront prove consensus --seeds $(SEEDS) --voters $$voters --disks || exit; done
	target/release/pearfront prove every

# Duties above that log by seed, in storms and with one thing after another befalling the holder. Some minutes.
.PHONY: prove-duties
prove-duties:
	cargo build --release --locked -p pearfront-cli
	for voters in 3 5; do \
		target/release/pearfront prove duties --seeds $(SEEDS) --voters $$voters || exit; \
		target/release/pearfront prove duties --seeds $(SEEDS) --voters $$voters --disks || exit; done
	for only in word kill silence deaf; do \
		target/release/pearfront prove duties --seeds 300 --only $$only || exit; done

# Distribution of configuration by seed, in storms and with one loss after another. Some minutes.
.PHONY: prove-distribute
prove-distribute:
	cargo build --release --locked -p pearfront-cli
	for voters in 3 5; do \
		target/release/pearfront prove distribute --seeds $(SEEDS) --voters $$voters || exit; \
		target/release/pearfront prove distribute --seeds $(SEEDS) --voters $$voters --disks || exit; done
	for only in distributors region voters; do \
		target/release/pearfront prove distribute --seeds 10 --only $$only || exit; done
	for only in cold warm; do \
		target/release/pearfront prove distribute --seeds 1 --only $$only --distributors 10 --nodes 7300 || exit; done

# The same among real processes, 200 seeds of a minute each in four plays beside each other; some fifty minutes.
.PHONY: prove-duties-processes
prove-duties-processes: build
	for first in 1 51 101 151; do \
		target/release/pearfront prove processes --seeds 50 --first $$first \
			--voters $$(( first % 100 == 1 ? 3 : 5 )) & all="$$all $$!"; done; \
	for one in $$all; do wait $$one || exit; done

# Real processes with faults between them, one scenario after another; some five minutes.
.PHONY: prove-cluster
prove-cluster: build
	for file in rehearsals/cluster/*.toml; do \
		target/release/pearfront rehearse $$file --play processes || exit; done

# The standing test of the whole fleet, its quick days; bench and site are not part of this repository.
standing:
	$(BENCH) score $(SITE) --quick --why "$(or $(WHY),Standing test at the end of a sitting)"

# The short days, and the quick ones, on deployments of our own. Bench and the kit's folder with the files that stand beside
# a deployment (`real.json`, `wire.json`, `unlock.txt`) are not part of this repository, and what is laid here is ignored.
.PHONY: variants
SEEDS_OF_VARIANTS ?= 1 2 3
variants: build
	for file in real.json wire.json unlock.txt; do install -m 644 $(KIT)/$$file deploy/sites/ || exit; done
	for site in deploy/sites/*.toml; do \
		$(BENCH) score $$site --quick --why "$(or $(WHY),Our own deployments at the end of a sitting)" || exit; \
		for seed in $(SEEDS_OF_VARIANTS); do \
			$(BENCH) score $$site --panel brink --seed $$seed \
				--why "$(or $(WHY),Our own deployments at the end of a sitting)" || exit; done; done

# What each part costs by size, its slopes, and the fleet size at which each row fails: the tables of docs/CAPACITY.md. Some
# minutes on one core; not part of the tests.
.PHONY: scale
PLAN ?= rehearsals/scale/fleet.toml
OUT ?= target/scale
scale:
	cargo build --release --locked -p pearfront-cli
	target/release/pearfront scale $(PLAN) --out $(OUT)

# Real node processes under randomized faults, seed by seed, held against the rules; some half a minute a seed, four beside
# each other. `make soak SEEDS_OF_SOAK=40 FIRST=100`.
.PHONY: soak
SEEDS_OF_SOAK ?= 20
FIRST ?= 1
soak: build
	target/release/pearfront soak --seeds $(SEEDS_OF_SOAK) --first $(FIRST) --beside 4

# A few fixed seeds of it for CI; and the same with a guard that only counts, and with requests that nobody ends: both have
# to be found.
.PHONY: soak-short soak-broken-guard soak-broken-deadline
soak-short: build
	.ci/known-red soak 1 4 target/release/pearfront soak --seconds 16 --beside 2

soak-broken-guard: build
	cargo build --release --locked -p pearfront-node --features broken-guard --target-dir target/broken-guard
	target/release/pearfront soak --seeds 24 --first 1 --seconds 16 --beside 4 \
		--node target/broken-guard/release/pearfront-node; test $$? -eq 3

soak-broken-deadline: build
	cargo build --release --locked -p pearfront-node --features broken-deadline --target-dir target/broken-deadline
	target/release/pearfront soak --seeds 8 --first 1 --seconds 16 --beside 4 \
		--node target/broken-deadline/release/pearfront-node; test $$? -eq 3
