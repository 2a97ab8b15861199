GO ?= go
LINTER = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo development)
KNOWN_RED = $(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
# Lists each package with what its tests import.
PACKAGES = $(GO) list -f '{{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}' $(MODULES)
MODULES = $(patsubst %/go.mod,./%/...,$(wildcard persim*/go.mod) platform/go.mod) ./...

.PHONY: build demo test lint format bench capacity faults soak generate

build:
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o bin/ ./cmd/...

# Starts a deployment on loopback, sends requests through it and breaks parts of it.
demo: build
	./scripts/demo.sh

# Formatter and linter.
lint:
	$(GO) run $(LINTER) run $(MODULES)

format:
	$(GO) run $(LINTER) fmt $(MODULES)

# Every test with the race detector; the policies' measures, the largest simulations of
# persimquarantine, persimrollout, persimplace and persimengine, and the tests in bubbles
# without it as well. Tests in bubbles of
# testing/synctest run on one thread under the detector, which ends the process if two
# threads run timers of a bubble.
test: lint
	$(GO) vet $(MODULES)
	$(GO) test -race -skip '$(KNOWN_RED)' $$($(PACKAGES) | awk '!/ testing\/synctest( |$$)/ {print $$1}')
	$(GO) test -race -exec 'env GOMAXPROCS=1' -timeout 30m -skip '$(KNOWN_RED)' $$($(PACKAGES) | awk '/ testing\/synctest( |$$)/ {print $$1}')
	$(GO) test -skip '$(KNOWN_RED)' $$($(PACKAGES) | awk '/ testing\/synctest( |$$)/ {print $$1}')
	$(GO) test ./persimbench/...
	$(GO) test -skip '$(KNOWN_RED)' ./persimquarantine/... ./persimrollout/... ./persimplace/... ./persimengine/...
	@cat KNOWN-RED.txt

# The policies' measures, and the cost of an entry host in a real deployment.
bench: build
	./scripts/overhead.sh
	./bin/persimbench policies

# The slopes behind docs/CAPACITY.md.
capacity: build
	./bin/persimbench capacity

# The larger seeded set of faults; prints its table last.
faults:
	PERSIM_FAULT_RUNS=50 $(GO) test -count=1 -v -timeout 60m -run 'TestAcceptedSurvive|TestOrdersRunAtMostOnce' . | grep -v '^[IWE][0-9]'

# Real processes under faults from outside, with fresh seeds; SOAK holds more flags,
# as in make soak SOAK='-first 7 -fresh 1 -hosts 40'.
SOAK ?= -fresh 10
soak:
	cd persimsoak && $(GO) test -count=1 -v -timeout 60m -run 'TestSoak$$' . $(SOAK)

generate:
	cd persimwire && $(GO) run github.com/bufbuild/buf/cmd/buf@v1.75.0 generate .
