"""Clusters of entries and engine processes that serve one model."""

from __future__ import annotations

import asyncio
import json
import time

from standins import engine_stage
from tools import demo
from tools import processes
from tools import requester

MODEL = 'text'
WORKSPACE = 'brokers'
LAYERS = 16
PATH = f'/v1/workspaces/{WORKSPACE}/models/{MODEL}/generate'
_HALVES = {'head': (0, 8), 'tail': (8, LAYERS)}
_HIGH_LIMIT = 100_000
_DOMAINS = ('perth-a', 'perth-b', 'perth-c')
_JOIN_TIMEOUT_S = 10.0
_MAX_ATTEMPTS = 30
_UNAVAILABLE = 503


class Cluster:
    """Entries, engines and a platform as processes.

    An engine's name ends in ``head`` or ``tail``, the half of the model's
    layers that it holds.
    """

    def __init__(self, scope, entries, engines, step_ms=4):
        self.scope = scope
        self.platform = scope.start('platform', 'standins.kv_store')
        self.engines = {
            name: self.start_engine(name, step_ms) for name in engines
        }
        self.entries = []
        for number in range(entries):
            self.entries.append(self.start_entry(number))
        self.deployment = demo.Deployment(
            scope, self.engines, tuple(self.entries)
        )
        self.publish()
        self.wait_joined()

    def start_engine(self, name, step_ms):
        first, end = _HALVES[name.rpartition('-')[2]]
        return self.scope.start(
            name,
            'standins.engine',
            *('--name', name, '--step-ms', str(step_ms)),
            *('--first-layer', str(first), '--end-layer', str(end)),
        )

    def start_entry(self, number):
        seeds = [one.ready['peers'] for one in self.entries]
        return self.scope.start_entry(
            f'perth-{number + 1}',
            failure_domain=_DOMAINS[number % len(_DOMAINS)],
            peers={'listen': '127.0.0.1:0', 'seeds': seeds},
            platform={'kind': 'http', 'url': self.platform.ready['url']},
        )

    def publish(self):
        folder = self.scope.folder / 'services'
        folder.mkdir()
        for document in self.build_documents():
            path = folder / f'{document["kind"]}-{document["name"]}.json'
            path.write_text(json.dumps(document))
        demo.run_tool(self.deployment, 'publish', str(folder))

    def build_documents(self):
        yield {
            'kind': 'workspace',
            'name': WORKSPACE,
            'models': [MODEL],
            'limits': {
                'requests_per_s': _HIGH_LIMIT,
                'tokens_per_s': _HIGH_LIMIT * 100,
                'concurrency': _HIGH_LIMIT,
            },
        }
        stages = []
        for name, engine in self.engines.items():
            first, end = _HALVES[name.rpartition('-')[2]]
            stages.append(
                {'target': name, 'first_layer': first, 'end_layer': end}
            )
            yield {
                'kind': 'target',
                'name': name,
                'serves': 'engine',
                'host': f'host-of-{name}',
                'failure_domain': 'perth-a',
                'url': engine.ready['url'],
            }
        yield {
            'kind': 'model',
            'name': MODEL,
            'version': '1',
            'layers': LAYERS,
            'stages': stages,
        }

    def wait_joined(self):
        """Wait until each entry lists all entries."""
        end = time.monotonic() + _JOIN_TIMEOUT_S
        for entry in self.entries:
            while time.monotonic() < end:
                url = entry.ready['callers'] + '/v1/entries'
                listed = requester.send('GET', url).read_json()['entries']
                if len(listed) == len(self.entries):
                    break
                time.sleep(0.1)

    async def control(self, name, **settings):
        """Set faults of an engine through its control endpoint."""
        url = self.engines[name].ready['url'] + '/control'
        await requester.send_async('POST', url, json.dumps(settings).encode())

    async def read_counts(self, name):
        """Return the requests and token indexes that an engine computed."""
        url = self.engines[name].ready['url'] + '/control/counts'
        answer = await requester.send_async('GET', url)
        return answer.read_json()

    def list_exited(self):
        """Return the names of the engines whose process has exited."""
        return [
            name
            for name, engine in self.engines.items()
            if engine.popen.poll() is not None
        ]

    async def generate(self, prompt, entry=0, on_chunk=None, **fields):
        """Send one generate request; retry it when a limit refuses it."""
        body = {'prompt': prompt, 'max_tokens': 40, **fields}
        url = self.entries[entry % len(self.entries)].ready['callers']
        for _ in range(_MAX_ATTEMPTS):
            answer = await requester.send_async(
                'POST',
                url + PATH,
                json.dumps(body).encode(),
                on_chunk=on_chunk,
            )
            refused = b'"Refused for its ' in answer.body
            if answer.status != _UNAVAILABLE or not refused:
                break
            # An entry receives its share of a limit on first use, and admits
            # fewer requests to a model that was slow a moment ago.
            wait_ms = answer.read_json()['retry_after_ms']
            await asyncio.sleep(wait_ms / 1000)
        return answer

    async def generate_many(self, prompts, **fields):
        """Send requests concurrently, spread over the entries."""
        return await asyncio.gather(
            *(
                self.generate(prompt, number, **fields)
                for number, prompt in enumerate(prompts)
            )
        )


def open_cluster(add_cleanup, entries, engines, **options):
    """Start a cluster that is stopped by the test's cleanup.

    Must not be called from a running event loop.
    """
    scope = processes.open_processes()
    opened = scope.__enter__()
    add_cleanup(scope.__exit__, None, None, None)
    return Cluster(opened, entries, engines, **options)


def compute_expected_tokens(prompt, count):
    """Return the tokens that the caller must receive."""
    return [
        engine_stage.compute_token(prompt, place) for place in range(count)
    ]


def check_complete(case, prompt, answer, count=40):
    """Check that a stream holds exactly the tokens of its prompt."""
    case.assertEqual(answer.status, 200, answer.body)
    events = requester.read_events(answer.body)
    texts = []
    for name, data in events[:-1]:
        case.assertEqual(name, 'tokens')
        case.assertEqual(data['first_index'], len(texts))
        texts.extend(data['texts'])
    case.assertEqual(events[-1], ('end', {'count': count}))
    case.assertEqual(texts, compute_expected_tokens(prompt, count))
