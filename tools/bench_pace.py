"""Measures one entry at the pace of the design size.

Real processes on loopback: one entry, engines that give each stream a token
each 49 ms, and callers. The same streams are then read straight from the
engines. The models are those of the design size, since admission bounds the
requests in flight for each model.
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
PACE_MS = 49
FIRST_TOKEN_MS = 840
MODELS = 12
ENGINES = 4
CALLERS = 4
RAMP_S = 3.0
WINDOW_S = 6.0
MARGIN_S = 0.5
TOKENS = int((RAMP_S + WINDOW_S + 2 * MARGIN_S) * 1000 / PACE_MS)
PERCENTILES = (50, 95, 99)

Figures = dict[str, typing.Any]


@attrs.frozen
class Answer:
    """When the tokens of one stream came.

    Attributes
    ----------
    started : float
        Seconds of the monotonic clock at which it was sent.
    tokens : list of float
        The same for each token.
    refusals : int
        How often it was refused before it was taken.
    """

    started: float
    tokens: list[float]
    refusals: int


@attrs.frozen
class Window:
    """The part of a run in which all streams are open.

    Attributes
    ----------
    begin, end : float
        Seconds of the monotonic clock.
    cpu_s : dict of str to float
        Processor time that each process spent in it.
    """

    begin: float
    end: float
    cpu_s: dict[str, float]

    def read_percent(self, name: str) -> float:
        """Return the processor time of a process in percent of a core."""
        return round(self.cpu_s[name] / (self.end - self.begin) * 100, 1)


def read_entry_answer(stream: pace_caller.Stream) -> Answer:
    """Check an answer of the entry and time its tokens.

    Raises
    ------
    ConnectionError
        A token is missing or the end does not count them all.
    """
    *events, end = requester.read_events(stream.body.encode())
    tokens: list[float] = []
    for (name, data), arrival in zip(events, stream.arrivals, strict=False):
        if name != 'tokens' or data['first_index'] != len(tokens):
            raise ConnectionError(f'not the next tokens: {name} {data}')
        tokens += [arrival] * len(data['texts'])
    if end != ('end', {'count': len(tokens)}) or len(tokens) != TOKENS:
        raise ConnectionError(f'{len(tokens)} tokens, then {end}')
    return Answer(stream.started, tokens, stream.refusals)


def read_engine_answer(stream: pace_caller.Stream) -> Answer:
    """Check an answer of an engine and time its tokens.

    Raises
    ------
    ConnectionError
        A token is missing or the end does not count them all.
    """
    *frames, end = map(json.loads, stream.body.splitlines())
    indexes = [frame['index'] for frame in frames]
    if indexes != list(range(TOKENS)) or end['end'] != TOKENS:
        raise ConnectionError(f'{len(frames)} tokens, then {end}')
    return Answer(stream.started, stream.arrivals[:-1], stream.refusals)


def sum_up(answers: list[Answer], window: Window) -> Figures:
    """Return the rate in the window and the times at the callers, in ms."""
    gaps: list[float] = []
    firsts: list[float] = []
    count = 0
    for answer in answers:
        tokens = answer.tokens
        firsts.append((tokens[0] - answer.started) * 1000)
        gaps += [
            (after - before) * 1000
            for before, after in itertools.pairwise(tokens)
        ]
        count += sum(window.begin <= token < window.end for token in tokens)
    return {
        'tokens_per_s': round(count / (window.end - window.begin)),
        'first_token_ms': _list_percentiles(firsts),
        'between_tokens_ms': _list_percentiles(gaps),
        'refusals': sum(answer.refusals for answer in answers),
    }


def _list_percentiles(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        f'p{percent}': round(samples.read_percentile(ordered, percent), 2)
        for percent in PERCENTILES
    }


def _make_documents(
    engines: list[processes.Process],
) -> list[bench_deployment.Document]:
    """Make the documents of one workspace and the models on all engines."""
    names = [f'text-{number}' for number in range(MODELS)]
    layers = {'first_layer': 0, 'end_layer': bench_deployment.LAYERS}
    return [
        {
            'kind': 'workspace',
            'name': bench_deployment.WORKSPACE,
            'models': names,
            'objective': {
                'first_token_ms': FIRST_TOKEN_MS,
                'between_tokens_ms': PACE_MS,
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


def _make_entry_order(
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


def _make_engine_order(
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


def _run(
    scope: processes.Processes,
    name: str,
    orders: list[pace_caller.Order],
    watched: list[processes.Process],
    read: Callable[[pace_caller.Stream], Answer],
) -> tuple[list[Answer], Window]:
    """Read all streams by several callers and watch some processes."""
    callers = []
    for number in range(CALLERS):
        path = scope.folder / f'{name}-{number}.json'
        path.write_bytes(msgspec.json.encode(orders[number::CALLERS]))
        callers.append(
            scope.start(f'{name}-{number}', 'tools.pace_caller', str(path))
        )
    time.sleep(RAMP_S + MARGIN_S)
    window = _watch(watched)
    answers = []
    for caller in callers:
        output, _ = caller.popen.communicate(
            timeout=pace_caller.ANSWER_TIMEOUT_S
        )
        streams = msgspec.json.decode(output, type=list[pace_caller.Stream])
        answers += [read(stream) for stream in streams]
    return answers, window


def _watch(watched: list[processes.Process]) -> Window:
    """Read what processes spend while all streams are open."""
    begin = time.monotonic()
    before = {
        one.name: bench_control.read_cpu_s(one.popen.pid) for one in watched
    }
    time.sleep(WINDOW_S)
    spent = {
        one.name: bench_control.read_cpu_s(one.popen.pid) - before[one.name]
        for one in watched
    }
    return Window(begin, time.monotonic(), spent)


async def _publish(
    entry: processes.Process, engines: list[processes.Process]
) -> None:
    session = bench_deployment.Session()
    try:
        documents = _make_documents(engines)
        await bench_deployment.publish(session, entry, documents, 0)
    finally:
        session.close()


def measure_pace() -> Figures:
    """Measure an entry at the pace of the design size.

    Returns
    -------
    dict
        ``entry_cpu_percent`` of a core while all streams were open; under
        ``through`` and ``direct``, the tokens a second in that time and, in
        milliseconds at the callers, first tokens and times between tokens.
    """
    with processes.open_processes() as scope:
        engines = [
            scope.start(
                f'engine-{number}',
                'standins.engine',
                *('--name', f'engine-{number}', '--pace-ms', str(PACE_MS)),
                *('--end-layer', str(bench_deployment.LAYERS)),
            )
            for number in range(ENGINES)
        ]
        entry = scope.start_entry('entry-0')
        asyncio.run(_publish(entry, engines))
        watched = [entry, *engines]
        orders = [_make_entry_order(entry, one) for one in range(STREAMS)]
        through, window = _run(
            scope, 'through', orders, watched, read_entry_answer
        )
        orders = [
            _make_engine_order(engines[one % ENGINES], one)
            for one in range(STREAMS)
        ]
        direct, beside = _run(
            scope, 'direct', orders, watched, read_engine_answer
        )
    return {
        'streams': STREAMS,
        'entry_cpu_percent': window.read_percent(entry.name),
        'engine_cpu_percent': max(
            window.read_percent(engine.name) for engine in engines
        ),
        'through': sum_up(through, window),
        'direct': sum_up(direct, beside),
    }


if __name__ == '__main__':
    json.dump(measure_pace(), sys.stdout, indent=2)
