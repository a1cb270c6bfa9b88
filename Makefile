# One target for each step of .ci/run, which holds the commands; `make` alone runs all of
# them, as CI does.
STEPS := prerequisites format vet staticcheck lint build cli versions race test

.PHONY: all fix $(STEPS)

all:
	bash .ci/run

$(STEPS):
	bash .ci/run $@

# Rewrites the code into the format that `make format` checks.
fix:
	go tool -modfile=tools/go.mod golangci-lint fmt cmd docs internal

# These run the program that `build` makes.
cli versions: build
