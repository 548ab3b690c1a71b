# The two commands that a newcomer needs: `make demo` and `make test`.

BUILD := build
PACKAGES := cmake ninja-build g++ pkg-config clang-format clang-tidy \
	libwebsockets-dev libthrift-dev libboost-dev libpopt-dev libgoogle-glog-dev \
	libexpected-dev catch2 libinih-dev libxxhash-dev nlohmann-json3-dev libssl-dev \
	libcurl4-openssl-dev zlib1g-dev spin gcc
SOURCES := $(shell git ls-files --cached --others --exclude-standard -- \
	'src/*.h' 'src/*.cpp' 'tests/*.h' 'tests/*.cpp' 'bench/*.cpp' 'bench/*.h' \
	'tools/*.cpp' 'tools/*.h' 'fuzz/*.cpp' 'platform/*.cpp' 'platform/*.h' ':!src/wire/gen')

.PHONY: deps build demo test format-check format lint unit model bench slopes generate

deps:
	@dpkg -s $(PACKAGES) > /dev/null 2>&1 || \
		(apt-get update -qq && apt-get install -y -qq $(PACKAGES) > /dev/null)

build: deps
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@ninja -C $(BUILD) --quiet

demo: build
	$(BUILD)/demo

test: format-check build lint model unit

format-check: deps
	clang-format --dry-run -Werror $(SOURCES)

format: deps
	clang-format -i $(SOURCES)

# Each source file by clang-tidy, as many at a time as there are processors.
lint: build
	@printf '%s\n' $(filter %.cpp,$(SOURCES)) | \
		xargs -P $$(nproc) -n 1 clang-tidy --quiet -p $(BUILD) 2> /dev/null

unit: build
	@sed -n 's/^red: /known red, passed over: /p' KNOWN-RED.txt
	ctest --test-dir $(BUILD) --output-on-failure

model: deps
	tools/run-models

# Latency, processor time and memory of the path. Not a test.
bench: build
	$(BUILD)/bench_path

# State, messages and time against size, for docs/CAPACITY.md. Not a test.
slopes: build
	$(BUILD)/bench_slopes

# Regenerates the committed code of the messages between processes.
generate:
	thrift --gen cpp:pure_enums=enum_class,moveable_types,no_skeleton -out src/wire/gen \
		src/wire/fleet.thrift
