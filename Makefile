.PHONY: all build test lint generate bench demo faults tools

all: build

tools:
	script/tools

build:
	mkdir -p .bin
	go build -o .bin/ ./rhubarbtrackd ./rhubarbctl ./platformsim ./upstreamsim ./loadgen ./demo

test:
	script/test

lint: tools
	script/lint

generate: tools
	script/generate

bench:
	go run ./bench

demo: build
	.bin/demo

faults: build
	.bin/demo --scenario all
