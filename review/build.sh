#!/bin/sh
# Checks that every stand-in that a script of the review starts can be
# started: the project's store, and the servers and clients of review/common.
# They are Python and need only what the build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:src:. python3 -c 'import standins.kv_store'
PYTHONPATH=target/deps:review/common python3 -c 'import world, heartbeats, silent_proxy, store_proxy, spoiling'
echo 'the stand-ins are ready'
