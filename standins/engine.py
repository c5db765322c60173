"""Stand-in of a model engine that holds a range of layers.

It replaces a real engine in tests and benchmarks: it batches continuously,
forwards work along the route, streams deterministic numbered tokens, and
injects the faults that a test requests.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import typing

from tornado import httpserver
from tornado import netutil

from standins import engine_batch
from standins import engine_handlers
from standins import engine_stage

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

_DEFAULT_FAST_BURST_TOKENS = 64


def read_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog='engine', description=__doc__)
    parser.add_argument('--guarded', action='store_true')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--name', default='engine-1')
    parser.add_argument('--kind', default='a')
    parser.add_argument('--first-layer', type=int, default=0)
    parser.add_argument('--end-layer', type=int, default=32)
    parser.add_argument('--step-ms', type=float, default=5.0)
    parser.add_argument('--max-batch', type=int, default=16)
    parser.add_argument('--burst', type=int, default=0)
    parser.add_argument('--load-lag-ms', type=int, default=200)
    parser.add_argument('--cache-size', type=int, default=64)
    parser.add_argument('--pace-ms', type=float, default=0.0)
    return parser.parse_args(arguments)


def build_settings(options: argparse.Namespace) -> engine_batch.Settings:
    """Build settings; a step time of 0 defaults to many tokens a step."""
    default_burst = 1 if options.step_ms else _DEFAULT_FAST_BURST_TOKENS
    return engine_batch.Settings(
        name=options.name,
        kind=options.kind,
        first_layer=options.first_layer,
        end_layer=options.end_layer,
        step_ms=options.step_ms,
        max_batch=options.max_batch,
        burst=options.burst or default_burst,
        load_lag_ms=options.load_lag_ms,
        cache_size=options.cache_size,
        token_interval_ms=options.pace_ms,
    )


def _exit_with_parent() -> None:
    """Exit when standard input closes, as it does when a test is killed."""

    def exit_on_eof() -> None:
        if not os.read(sys.stdin.fileno(), 1):
            os._exit(0)

    asyncio.get_running_loop().add_reader(sys.stdin.fileno(), exit_on_eof)


async def serve(options: argparse.Namespace) -> None:
    """Serve until the process is terminated."""
    engine = engine_stage.Engine(build_settings(options))
    sockets = netutil.bind_sockets(options.port, '127.0.0.1')
    server = httpserver.HTTPServer(engine_handlers.build_application(engine))
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    if options.guarded:
        _exit_with_parent()
    print(json.dumps({'url': f'http://127.0.0.1:{port}'}), flush=True)
    await asyncio.gather(engine.batch.run(), engine.refresh_load())


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the stand-in."""
    asyncio.run(serve(read_arguments(arguments)))


if __name__ == '__main__':
    main()
