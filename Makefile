# SPDX-License-Identifier: Apache-2.0

# Versions of the development tools. They are not in go.mod, which lists only the
# dependencies of the product.
GOFUMPT  = mvdan.cc/gofumpt@v0.12.0
REVIVE   = github.com/mgechev/revive@v1.17.0
GENGO    = google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
GENDRPC  = storj.io/drpc/cmd/protoc-gen-go-drpc@v1.1.0

.PHONY: run test race check generate build capacity detection soak fuzz

run:
	./examples/quickstart/run

# One package at a time: the guard tests compare durations, and the integration tests
# use all processors. On a busy machine they take nearly the default time limit of go
# test, ten minutes. SKIP is a pattern of tests to skip.
test:
	go build ./...
	go test -p 1 -timeout 30m $${SKIP:+-skip "$$SKIP"} ./...

build:
	go build ./...

# Runs the race detector on all tests except the guards, which compare durations;
# TestQuietCost, in which the detector itself sometimes crashes (a CHECK of its runtime
# fails); and the integration tests, whose processes are built with it by:
# GOFLAGS=-race go test ./internal/integration
# The model tests of internal/dispatch take minutes under it, and on a busy machine more
# than the default time limit of go test, ten minutes.
race:
	go test -race -timeout 30m -skip "Guard|QuietCost$${SKIP:+|$$SKIP}" $$(go list ./... | grep -v /integration)

check:
	@out=$$(go run $(GOFUMPT) -l .); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	go run $(REVIVE) -set_exit_status ./...
	go vet ./...

# Needs protoc (Debian package protobuf-compiler).
generate:
	GOBIN=$(CURDIR)/.bin go install $(GENGO)
	GOBIN=$(CURDIR)/.bin go install $(GENDRPC)
	PATH=$(CURDIR)/.bin:$$PATH go generate ./internal/wire

# Random faults in fleets of real processes: SEEDS seeds from FIRST on, NODES processes
# per fleet, BESIDE fleets at a time. About 20 s per seed.
SEEDS  = 50
FIRST  = 1000
NODES  = 4
BESIDE = 4

soak:
	go test ./internal/soak -run 'TestSoak$$' -count=1 -v -timeout 2h -seeds $(SEEDS) -first $(FIRST) -nodes $(NODES) -beside $(BESIDE)

# Fuzzes the parsers of external input, with FUZZ inputs per fuzz test; "make test" also
# runs the stored corpora.
FUZZ = 3000x

fuzz:
	go test ./platform -run '^$$' -fuzz '^FuzzEntries$$' -fuzztime $(FUZZ)
	go test ./internal/contract -run '^$$' -fuzz '^FuzzCredential$$' -fuzztime $(FUZZ)
	go test ./internal/contract -run '^$$' -fuzz '^FuzzBackoff$$' -fuzztime $(FUZZ)
	go test ./internal/contract -run '^$$' -fuzz '^FuzzLimit$$' -fuzztime $(FUZZ)
	go test ./internal/contract -run '^$$' -fuzz '^FuzzLoad$$' -fuzztime $(FUZZ)
	go test ./internal/response -run '^$$' -fuzz '^FuzzScan$$' -fuzztime $(FUZZ)
	go test ./internal/settings -run '^$$' -fuzz '^FuzzLoad$$' -fuzztime $(FUZZ)

# Measures the cost of the control plane and writes docs/CAPACITY.md; about 20 minutes.
capacity:
	go run ./internal/capacity

# Measures detection time and false ejections and writes docs/DETECTION.md.
detection:
	go run ./internal/detection
