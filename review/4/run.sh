#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" answers_to_orders 4
