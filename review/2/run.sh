#!/usr/bin/env bash
exec "$(dirname "$0")/../run_case.sh" restarts "$(dirname "$0")"
