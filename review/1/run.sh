#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" refused_writes 1
