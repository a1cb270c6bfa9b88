# Each target named after a step runs that step of .ci/run. `make` without a target runs all
# steps, as CI does.
STEPS := prerequisites format vet staticcheck lint build cli versions race test

.PHONY: all fix $(STEPS)

all:
	bash .ci/run

$(STEPS):
	bash .ci/run $@

# Reformats the code as `make format` requires.
fix:
	go tool -modfile=tools/go.mod golangci-lint fmt cmd docs internal

# These steps run the binary that `build` produces.
cli versions: build
