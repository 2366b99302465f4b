.PHONY: all build test lint generate bench demo faults tools

all: build

tools:
	script/tools

build:
	script/build

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
