# Set-up, build, tests and demo on a Debian machine.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build test model demo style format bench clean

all: build

packages:
	scripts/install-packages

$(BUILD)/build.ninja: CMakeLists.txt cmake/areas.cmake | packages
	cmake -S . -B $(BUILD) -G Ninja

build: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

model: packages
	model/run

test: build model
	scripts/run-tests $(BUILD)

demo: build
	scripts/demo $(BUILD)

style: build
	scripts/check-style $(BUILD) $(JOBS)

format:
	git ls-files '*.cc' '*.h' | xargs clang-format -i

clean:
	rm -rf $(BUILD) out
