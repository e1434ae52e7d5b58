.PHONY: demo measure slopes build test generate lint

demo:
	go run ./cmd/sycamore-demo

build:
	go build -o bin/ ./cmd/...

test:
	go test -timeout 25m $(if $(SKIP),-skip '$(SKIP)') ./...

generate:
	go generate ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...

measure:
	go run ./cmd/sycamore-measure

# Arguments of the tool, for example SLOPES="--short --dir /tmp".
slopes:
	go run ./cmd/sycamore-slopes $(SLOPES)
