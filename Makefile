.PHONY: fuzz race flood soak bench-sites build demo test lint format format-check spec faults measure bench generate

BIN := bin
EXAMPLES := examples/kameeldoring examples/tolbooth
TOOL := go tool -modfile=tools/go.mod
# SKIP is a regular expression of tests to skip; see KNOWN-RED.txt.
SKIP ?=

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/hbdemo --binaries $(BIN) $(EXAMPLES)

test: build
	go test $(if $(SKIP),-skip '$(SKIP)') ./...

# fuzz plays INPUTS generated inputs to each parser of foreign bytes.
INPUTS ?= 20000x
fuzz:
	go test ./platform -run '^$$' -fuzz '^FuzzInstance$$' -fuzztime $(INPUTS)
	go test ./platform -run '^$$' -fuzz '^FuzzDecode$$' -fuzztime $(INPUTS)
	go test ./internal/router/edge -run '^$$' -fuzz '^FuzzDigest$$' -fuzztime $(INPUTS)
	go test ./internal/router/edge -run '^$$' -fuzz '^FuzzTarget$$' -fuzztime $(INPUTS)
	go test ./internal/router/send -run '^$$' -fuzz '^FuzzEvents$$' -fuzztime $(INPUTS)

# race runs the tests of the router and of the adapter with the race detector, except for those of 300 nodes in process,
# which use one goroutine each.
race:
	go test -race -skip 'LargeFleet|FrozenNode' ./internal/router/... ./platform/...

# flood tests a node against callers outside the limits, each test alone: the load takes the whole machine. Without the variable
# the package runs no test.
flood:
	HORNBEAMDYKE_FLOOD=1 go test -p 1 -count=1 -v $(if $(SKIP),-skip '$(SKIP)') ./internal/flood

lint:
	$(TOOL) golangci-lint run ./...

format:
	$(TOOL) golangci-lint fmt ./...

format-check:
	$(TOOL) golangci-lint fmt --diff ./...

faults: build
	$(BIN)/hbfault --binaries $(BIN)

measure: build
	$(BIN)/hbload --binaries $(BIN) --example examples/kameeldoring --seed 1 --seed 2 --seed 3 --out docs/measure/kameeldoring
	$(BIN)/hbload --binaries $(BIN) --example examples/tolbooth --seed 1 --seed 2 --seed 3 --out docs/measure/tolbooth

bench: build
	$(BIN)/hbbench --binaries $(BIN)

# soak tests nodes under random faults, with the seeds that failed before and with SEEDS seeds from FIRST on.
FIRST ?= 1
SEEDS ?= 50
FAULTS ?= 10s
soak: build
	for seed in $$(grep -v '^#' internal/soak/seeds.txt); do \
	  $(BIN)/hbsoak --binary $(BIN)/hornbeamdyke --dir $(BIN)/soak --first $$seed --faults $(FAULTS) || exit 1; done
	$(BIN)/hbsoak --binary $(BIN)/hornbeamdyke --dir $(BIN)/soak --first $(FIRST) --seeds $(SEEDS) --together 4 --faults $(FAULTS)

# bench-sites runs the users' benchmark (fleetbench) on the standard days of their sites.
SYSTEM ?= ../given/kit/more/system
BENCH ?= $(SYSTEM)/more/bench-d17393/bin/fleetbench
SITES ?= $(wildcard $(SYSTEM)/further/*.toml $(SYSTEM)/further-grown/*.toml $(SYSTEM)/large/*.toml $(SYSTEM)/grown/*.toml)
# JOBS is the number of days played at once; a day of a large site takes up to 3 GB.
JOBS ?= 2
WHY ?= the standard days
bench-sites:
	@if [ ! -x "$(BENCH)" ]; then echo "the users' bench is not here: $(BENCH); nothing was played"; \
	else for site in $(SITES); do "$(BENCH)" score $$site --jobs $(JOBS) --why "$(WHY)" || exit 1; done; fi

spec:
	./spec/run

generate:
	go build -modfile=tools/go.mod -o $(BIN)/tools/ google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$(CURDIR)/$(BIN)/tools:$$PATH" go generate ./...
