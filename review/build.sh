#!/bin/sh
# Builds what the cases start besides the router. All stand-ins are Python files that need the standard library
# alone, and run with the interpreter of the deploy file's build, so that there is nothing to compile or install.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -B -c 'import asyncio, json, tomllib'
