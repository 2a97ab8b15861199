GO ?= go
GOLANGCI = $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo development)
MODULES = $(patsubst %/go.mod,./%/...,$(wildcard persim*/go.mod)) ./...

.PHONY: build demo test lint

build:
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

lint:
	$(GOLANGCI) run $(MODULES)

test: lint
	$(GO) vet $(MODULES)
	$(GO) test -race $(MODULES)
