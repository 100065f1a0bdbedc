#!/bin/sh
# TROUBLE=0 leaves out the refusals and the second answers.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case.sh" refused_writes 1
