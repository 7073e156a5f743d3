#!/bin/sh
# The stand-ins of the scripts are Python programs without dependencies, so only the interpreter is checked here. The daemon
# comes from the build of deploy/system.toml.
exec python3 -c 'import asyncio, sys; sys.exit(0 if sys.version_info >= (3, 8) else 1)'
