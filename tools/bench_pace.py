"""Measure one entry at the token rate of the design size.

Real processes on loopback: one entry, engines that send a token of each
stream every 49 ms, and callers. The same streams are then read directly from
the engines. The number of models is that of the design size, since admission
limits the requests in flight for each model.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
import time
import typing

import attrs
import msgspec

from tools import bench_control
from tools import bench_deployment
from tools import pace_caller
from tools import processes
from tools import requester
from tools import samples

if typing.TYPE_CHECKING:
    from collections.abc import Callable

STREAMS = 186
TOKEN_INTERVAL_MS = 49
FIRST_TOKEN_MS = 840
MODELS = 12
ENGINES = 4
CALLERS = 4
RAMP_S = 3.0
WINDOW_S = 6.0
MARGIN_S = 0.5
TOKENS = int((RAMP_S + WINDOW_S + 2 * MARGIN_S) * 1000 / TOKEN_INTERVAL_MS)
PERCENTILES = (50, 95, 99)

Figures = dict[str, typing.Any]


@attrs.frozen
class StreamTimes:
    """Times of one stream.

    Attributes
    ----------
    started : float
        Time of the request, in seconds of the monotonic clock.
    tokens : list of float
        Arrival time of each token, in seconds of the same clock.
    refusals : int
        Number of refusals before the request was accepted.
    """

    started: float
    tokens: list[float]
    refusals: int


@attrs.frozen
class Window:
    """The measurement window, in which all streams are open.

    Attributes
    ----------
    begin, end : float
        Seconds of the monotonic clock.
    cpu_s : dict of str to float
        Processor time of each process in the window, in seconds.
    """

    begin: float
    end: float
    cpu_s: dict[str, float]

    def compute_cpu_percent(self, name: str) -> float:
        """Return the processor time of a process in percent of a core."""
        return round(self.cpu_s[name] / (self.end - self.begin) * 100, 1)


def parse_entry_stream(stream: pace_caller.Stream) -> StreamTimes:
    """Validate a response of the entry and return its token times.

    Raises
    ------
    ConnectionError
        When a token is missing or the count at the end differs.
    """
    *events, end = requester.read_events(stream.body.encode())
    tokens: list[float] = []
    for (name, data), arrival in zip(events, stream.arrivals, strict=False):
        if name != 'tokens' or data['first_index'] != len(tokens):
            raise ConnectionError(
                f'unexpected event, expected the next tokens: {name} {data}'
            )
        tokens += [arrival] * len(data['texts'])
    if end != ('end', {'count': len(tokens)}) or len(tokens) != TOKENS:
        raise ConnectionError(f'{len(tokens)} tokens, then {end}')
    return StreamTimes(stream.started, tokens, stream.refusals)


def parse_engine_stream(stream: pace_caller.Stream) -> StreamTimes:
    """Validate a response of an engine and return its token times.

    Raises
    ------
    ConnectionError
        When a token is missing or the count at the end differs.
    """
    *frames, end = map(json.loads, stream.body.splitlines())
    indexes = [frame['index'] for frame in frames]
    if indexes != list(range(TOKENS)) or end['end'] != TOKENS:
        raise ConnectionError(f'{len(frames)} tokens, then {end}')
    return StreamTimes(stream.started, stream.arrivals[:-1], stream.refusals)


def summarize(stream_times: list[StreamTimes], window: Window) -> Figures:
    """Return the token rate in the window and the caller times in ms."""
    token_intervals: list[float] = []
    first_token_times: list[float] = []
    tokens_in_window = 0
    for times in stream_times:
        tokens = times.tokens
        first_token_times.append((tokens[0] - times.started) * 1000)
        token_intervals += [
            (after - before) * 1000
            for before, after in itertools.pairwise(tokens)
        ]
        tokens_in_window += sum(
            window.begin <= token < window.end for token in tokens
        )
    return {
        'tokens_per_s': round(tokens_in_window / (window.end - window.begin)),
        'first_token_ms': _compute_percentiles(first_token_times),
        'between_tokens_ms': _compute_percentiles(token_intervals),
        'refusals': sum(times.refusals for times in stream_times),
    }


def _compute_percentiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        f'p{percent}': round(samples.compute_percentile(ordered, percent), 2)
        for percent in PERCENTILES
    }


def _build_documents(
    engines: list[processes.Process],
) -> list[bench_deployment.Document]:
    """Build the documents of one workspace with all models on all engines."""
    names = [f'text-{number}' for number in range(MODELS)]
    layers = {'first_layer': 0, 'end_layer': bench_deployment.LAYERS}
    return [
        {
            'kind': 'workspace',
            'name': bench_deployment.WORKSPACE,
            'models': names,
            'objective': {
                'first_token_ms': FIRST_TOKEN_MS,
                'between_tokens_ms': TOKEN_INTERVAL_MS,
            },
        },
        *(
            {
                'kind': 'target',
                'name': engine.name,
                'serves': 'engine',
                'host': engine.name,
                'failure_domain': 'perth-a',
                'url': engine.ready['url'],
            }
            for engine in engines
        ),
        *(
            {
                'kind': 'model',
                'name': name,
                'version': '1',
                'layers': bench_deployment.LAYERS,
                'stages': [
                    {'target': engine.name, **layers} for engine in engines
                ],
            }
            for name in names
        ),
    ]


def _build_entry_order(
    entry: processes.Process, number: int
) -> pace_caller.Order:
    path = f'{bench_deployment.BASE}/models/text-{number % MODELS}/generate'
    body = {'prompt': f'Compare {number}.', 'max_tokens': TOKENS}
    return pace_caller.Order(
        entry.ready['callers'] + path,
        json.dumps(body),
        number / STREAMS * RAMP_S,
        '\n\n',
    )


def _build_engine_order(
    engine: processes.Process, number: int
) -> pace_caller.Order:
    url = engine.ready['url']
    stage = {
        'target': engine.name,
        'url': url,
        'first_layer': 0,
        'end_layer': bench_deployment.LAYERS,
    }
    body = {
        'request': f'direct-{number}',
        'attempt': 0,
        'model': 'text-0',
        'version': '1',
        'adapter': '',
        'route': [stage],
        'prompt': f'Compare {number}.',
        'resume': [],
        'max_tokens': TOKENS,
        'priority': 0,
    }
    return pace_caller.Order(
        url + '/v1/generate',
        json.dumps(body),
        number / STREAMS * RAMP_S,
        '\n',
    )


def _run_callers(
    scope: processes.Processes,
    name: str,
    orders: list[pace_caller.Order],
    measured: list[processes.Process],
    parse: Callable[[pace_caller.Stream], StreamTimes],
) -> tuple[list[StreamTimes], Window]:
    """Read all streams with several callers and measure processes."""
    callers = []
    for number in range(CALLERS):
        path = scope.folder / f'{name}-{number}.json'
        path.write_bytes(msgspec.json.encode(orders[number::CALLERS]))
        callers.append(
            scope.start(f'{name}-{number}', 'tools.pace_caller', str(path))
        )
    time.sleep(RAMP_S + MARGIN_S)
    window = _measure_window(measured)
    stream_times = []
    for caller in callers:
        output, _ = caller.popen.communicate(
            timeout=pace_caller.RESPONSE_TIMEOUT_S
        )
        streams = msgspec.json.decode(output, type=list[pace_caller.Stream])
        stream_times += [parse(stream) for stream in streams]
    return stream_times, window


def _measure_window(measured: list[processes.Process]) -> Window:
    """Measure the processor time of processes while all streams are open."""
    begin = time.monotonic()
    before = {
        process.name: bench_control.read_cpu_s(process.popen.pid)
        for process in measured
    }
    time.sleep(WINDOW_S)
    cpu_s = {
        process.name: bench_control.read_cpu_s(process.popen.pid)
        - before[process.name]
        for process in measured
    }
    return Window(begin, time.monotonic(), cpu_s)


async def _publish(
    entry: processes.Process, engines: list[processes.Process]
) -> None:
    session = bench_deployment.Session()
    try:
        documents = _build_documents(engines)
        await bench_deployment.publish(session, entry, documents, 0)
    finally:
        session.close()


def measure_pace() -> Figures:
    """Measure an entry at the token rate of the design size.

    Returns
    -------
    dict
        ``entry_cpu_percent`` of a core while all streams were open; under
        ``through`` and ``direct``, the tokens a second in that window and
        the times to the first token and between tokens at the callers, in
        milliseconds.
    """
    with processes.open_processes() as scope:
        engines = [
            scope.start(
                f'engine-{number}',
                'standins.engine',
                *(
                    '--name',
                    f'engine-{number}',
                    '--pace-ms',
                    str(TOKEN_INTERVAL_MS),
                ),
                *('--end-layer', str(bench_deployment.LAYERS)),
            )
            for number in range(ENGINES)
        ]
        entry = scope.start_entry('entry-0')
        asyncio.run(_publish(entry, engines))
        measured = [entry, *engines]
        orders = [
            _build_entry_order(entry, number) for number in range(STREAMS)
        ]
        through, window = _run_callers(
            scope, 'through', orders, measured, parse_entry_stream
        )
        orders = [
            _build_engine_order(engines[number % ENGINES], number)
            for number in range(STREAMS)
        ]
        direct, direct_window = _run_callers(
            scope, 'direct', orders, measured, parse_engine_stream
        )
    return {
        'streams': STREAMS,
        'entry_cpu_percent': window.compute_cpu_percent(entry.name),
        'engine_cpu_percent': max(
            window.compute_cpu_percent(engine.name) for engine in engines
        ),
        'through': summarize(through, window),
        'direct': summarize(direct, direct_window),
    }


if __name__ == '__main__':
    json.dump(measure_pace(), sys.stdout, indent=2)
