.PHONY: demo measure build test generate lint

demo:
	go run ./cmd/sycamore-demo

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

generate:
	go generate ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...

measure:
	go run ./cmd/sycamore-measure
