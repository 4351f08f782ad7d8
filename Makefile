.PHONY: build demo test lint format format-check spec faults measure bench generate

BIN := bin
EXAMPLES := examples/kameeldoring examples/tolbooth
TOOL := go tool -modfile=tools/go.mod
# SKIP is a pattern of tests that are known to fail; see KNOWN-RED.txt.
SKIP ?=

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/hbdemo --binaries $(BIN) $(EXAMPLES)

test: build
	go test $(if $(SKIP),-skip '$(SKIP)') ./...

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

spec:
	./spec/run

generate:
	go build -modfile=tools/go.mod -o $(BIN)/tools/ google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$(CURDIR)/$(BIN)/tools:$$PATH" go generate ./...
