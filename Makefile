.PHONY: build test lint generate demo bench
build:
	go build -o geraniumladder ./cmd/geraniumladder
test:
	go run ./cmd/tester
lint:
	golangci-lint run ./...
generate:
	go generate ./...
demo:
	go run ./cmd/geraniumladder demo
bench:
	go test -run '^$$' -bench . -benchmem ./...
