# Targets for development. The versions of the linter and of the code generators are pinned here, outside
# go.mod, because they are tools and not dependencies.
GOLANGCI_VERSION := v2.15.0
TWIRP_VERSION := v8.1.3+incompatible
PROTOC_GEN_GO_VERSION := v1.36.12
GOBIN := $(shell go env GOPATH)/bin

.PHONY: build test lint fmt vet fuzz generate tools demo proofs bench events measure soak

build:
	go build -o bin/ . ./standin

test:
	./.ci/test

lint: $(GOBIN)/golangci-lint
	$(GOBIN)/golangci-lint run ./...

fmt: $(GOBIN)/golangci-lint
	$(GOBIN)/golangci-lint fmt ./...

vet:
	go vet ./...

fuzz:
	./.ci/fuzz

# Runs the benchmarks behind docs/CAPACITY.md. BenchmarkProcess, BenchmarkRequest, BenchmarkRequestPath and
# those of snapshots have fixed counts, because they take long or measure over a fixed time. Packages run one
# at a time (-p 1), so that they do not disturb each other.
BENCH := go test -p 1 -run '^$$'
bench:
	@date; echo "cores: $$(nproc), load: $$(cut -d' ' -f1-3 /proc/loadavg)"
	@out=$$(mktemp) && trap 'rm -f '$$out EXIT && { \
	$(BENCH) -bench . -benchtime 100ms ./fleet ./config ./job ./claim ./planner ./member ./slot ./schedule && \
	$(BENCH) -bench . -benchtime 3x ./snapshot && \
	$(BENCH) -bench 'Request$$' -benchtime 2000x ./request && \
	$(BENCH) -bench RequestPath -benchtime 5000x ./entry && \
	$(BENCH) -bench Process -benchtime 1x ./entry; } >$$out 2>&1 || { cat $$out; exit 1; }; .ci/slopes $$out
	@date; echo "load: $$(cut -d' ' -f1-3 /proc/loadavg)"

proofs:
	./.ci/proofs

# Prints the table of docs/planner.md.
measure:
	@date; echo "cores: $$(nproc), load: $$(cut -d' ' -f1-3 /proc/loadavg)"
	@out=$$(mktemp) && trap 'rm -f '$$out EXIT && \
	go test -count=1 -run '^TestExperiment$$' -v ./planner -args -days 3 >$$out 2>&1 || { cat $$out; exit 1; }; grep -vE '^(===| *---)' $$out

demo:
	go run ./standin demo

# Runs the soak test with each seed of SEEDS and the number of entries in ENTRIES. With CARRIED=true, other entries carry the calls to workers. The logs of failed runs are kept in bin/soak.
SEEDS := 1-50
ENTRIES := 5
CARRIED := false
soak:
	mkdir -p bin/soak
	go test -count=1 ./soak -run TestSeeds -timeout 60m -v -args -seeds $(SEEDS) -entries $(ENTRIES) -carried=$(CARRIED) -logs ../bin/soak

events:
	go test ./event -args -catalogue

generate: tools
	PATH=$(GOBIN):$$PATH protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer/peer.proto
	PATH=$(GOBIN):$$PATH protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative relay/relay.proto
	PATH=$(GOBIN):$$PATH protoc --proto_path=. --go_out=. --go_opt=paths=source_relative carrier/carrier.proto

tools: $(GOBIN)/golangci-lint
	go install github.com/twitchtv/twirp/protoc-gen-twirp@$(TWIRP_VERSION)
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)

$(GOBIN)/golangci-lint:
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
