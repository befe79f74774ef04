#!/usr/bin/env bash
exec "$(dirname "$0")/../run_case.sh" deadline "$(dirname "$0")"
