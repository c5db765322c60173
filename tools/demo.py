"""End-to-end demo of the main use case, with every part as a process.

It starts three entries in three failure domains, the stand-in of the
platform, engines of three kinds that hold three replicas of one model in
ranges of layers, and the plain services of the Swan Coast example. It
publishes the example, sends each kind of request, kills an engine in
mid-stream and verifies that the response is complete.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import subprocess
import sys
import typing

import attrs

from thornspool import clock
from thornspool import identifiers
from tools import processes
from tools import requester

EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'swan-coast'
DOMAINS = ('perth-a', 'perth-b', 'perth-c')
CHAINS = ('engine-01', 'engine-02', 'engine-03')
STEP_MS = {'a100-80': '2', 'l40s': '4', 'l4': '8'}
KILL_AFTER_TOKENS = 20
DRAFT_TOKENS = 120
WORKSPACE = 'slots'

Document = dict[str, typing.Any]


@attrs.frozen
class Deployment:
    """The processes of the demo.

    Attributes
    ----------
    scope : processes.Processes
        Scope that ends the processes.
    targets : dict of str to processes.Process
        Stand-ins of engines and services, by name.
    entries : tuple of processes.Process
        The entries.
    """

    scope: processes.Processes
    targets: dict[str, processes.Process]
    entries: tuple[processes.Process, ...]

    def get_caller_url(self, number: int = 0) -> str:
        """Return the URL of one entry for callers."""
        return self.entries[number % len(self.entries)].ready['callers']


def main() -> int:
    """Run the demo.

    Returns
    -------
    int
        0 when every response was complete and every action ran once.
    """
    source = clock.Clock()
    started = source.now()
    with processes.open_processes() as scope:
        deployment = start_deployment(scope)
        publish(deployment)
        show_entries(deployment)
        passed = [
            show_draft(deployment),
            show_call(deployment),
            show_action(deployment, 'hold-slot', 'slot-hold'),
            show_action(deployment, 'confirm-deposit', 'deposit-confirmation'),
            asyncio.run(show_engine_killed(deployment)),
        ]
    seconds = (source.now() - started) / 1000
    print(f'\n{sum(passed)} of {len(passed)} as promised, {seconds:.1f} s')
    return 0 if all(passed) else 1


def read_documents(name: str) -> list[Document]:
    """Read a service file of the example as a list of documents."""
    value = json.loads((EXAMPLE / 'services' / name).read_text())
    return value if isinstance(value, list) else [value]


def read_request(name: str) -> Document:
    """Read a sample request of the example."""
    value: Document
    value = json.loads((EXAMPLE / 'requests' / f'{name}.json').read_text())
    return value


def start_deployment(scope: processes.Processes) -> Deployment:
    """Start platform, targets and entries, and write the service files."""
    platform = scope.start('platform', 'standins.kv_store')
    selected_targets = [
        target
        for target in read_documents('targets.json')
        if target['serves'] == 'service' or target['name'].startswith(CHAINS)
    ]
    model = read_documents('drafting.json')[0]
    stages = {
        stage['target']: stage
        for stage in model['stages']
        if stage['target'].startswith(CHAINS)
    }
    targets = {
        target['name']: start_target(scope, target, stages)
        for target in selected_targets
    }
    write_files(
        scope.folder / 'services', selected_targets, model, stages, targets
    )
    entries: list[processes.Process] = []
    for number, domain in enumerate(DOMAINS):
        seeds = [entry.ready['peers'] for entry in entries]
        entries.append(
            scope.start_entry(
                f'perth-{number + 1}',
                failure_domain=domain,
                region='perth',
                peers={'listen': '127.0.0.1:0', 'seeds': seeds},
                platform={'kind': 'http', 'url': platform.ready['url']},
            )
        )
    return Deployment(scope, targets, tuple(entries))


def start_target(
    scope: processes.Processes, target: Document, stages: dict[str, Document]
) -> processes.Process:
    """Start the stand-in of an engine or of a plain service."""
    name = target['name']
    if target['serves'] == 'service':
        return scope.start(name, 'standins.service', '--name', name)
    stage = stages[name]
    return scope.start(
        name,
        'standins.engine',
        *('--name', name, '--kind', target['accelerator']),
        *('--first-layer', str(stage['first_layer'])),
        *('--end-layer', str(stage['end_layer'])),
        *('--step-ms', STEP_MS[target['accelerator']]),
    )


def write_files(
    folder: pathlib.Path,
    selected_targets: list[Document],
    model: Document,
    stages: dict[str, Document],
    targets: dict[str, processes.Process],
) -> None:
    """Write the example's service files with the URLs of this run."""
    folder.mkdir()
    for name in ('workspaces', 'booking', 'status'):
        source = EXAMPLE / 'services' / f'{name}.json'
        (folder / source.name).write_text(source.read_text())
    moved = [
        {**target, 'url': targets[target['name']].ready['url']}
        for target in selected_targets
    ]
    (folder / 'targets.json').write_text(json.dumps(moved))
    drafting = {**model, 'stages': list(stages.values())}
    (folder / 'drafting.json').write_text(json.dumps(drafting))


def run_tool(deployment: Deployment, *arguments: str) -> str:
    """Run the command-line tool against the first entry.

    Returns
    -------
    str
        Its standard output.

    Raises
    ------
    RuntimeError
        When the exit code is not 0.
    """
    token = deployment.scope.folder / 'token'
    token.write_text(processes.OPERATOR_TOKEN)
    url = deployment.entries[0].ready['operators']
    command = [sys.executable, '-m', 'thornspool.console', *arguments]
    command += ['--url', url, '--token-file', str(token)]
    process = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    if process.returncode:
        raise RuntimeError(
            f'{arguments} failed: {process.stderr}{process.stdout}'
        )
    return process.stdout.strip()


def publish(deployment: Deployment) -> None:
    """Publish the service files and show the status of the entries."""
    folder = deployment.scope.folder / 'services'
    print(f'$ thornspool publish {EXAMPLE.name}/services')
    print(run_tool(deployment, 'publish', str(folder)))
    print('$ thornspool status')
    print(run_tool(deployment, 'status'))


def show_entries(deployment: Deployment) -> None:
    """Show the addresses of the entries for callers."""
    answer = requester.send('GET', f'{deployment.get_caller_url()}/v1/entries')
    print('\nGET /v1/entries')
    print(f'  {answer.body.decode()}')


def show_draft(deployment: Deployment) -> bool:
    """Send a generation request and show its pipeline."""
    body = read_request('manifest-summary')
    workspace, model = body.pop('workspace'), body.pop('model')
    path = f'/v1/workspaces/{workspace}/models/{model}/generate'
    answer = requester.send(
        'POST', deployment.get_caller_url(1) + path, json.dumps(body).encode()
    )
    print(f'\nPOST {path}\n  {body["prompt"][:64]}...')
    return check_stream(deployment, answer, body['max_tokens'])


def check_stream(
    deployment: Deployment, answer: requester.Answer, expected: int
) -> bool:
    """Show a stream and return whether it is complete and in order."""
    events = requester.read_events(answer.body)
    indexes = [
        data['first_index'] + offset
        for name, data in events
        if name == 'tokens'
        for offset in range(len(data['texts']))
    ]
    last_name, last = events[-1]
    request = answer.headers['X-Request-Id']
    for attempt, stages in sorted(find_stages(deployment, request).items()):
        print(f'  attempt {attempt} ran on {" > ".join(stages)}')
    print(f'  {len(indexes)} tokens, then {last_name} {json.dumps(last)}')
    is_complete = indexes == list(range(expected))
    return is_complete and last == {'count': expected}


def find_stages(deployment: Deployment, request: str) -> dict[int, list[str]]:
    """Return the running engines that computed each attempt of a request."""
    found: dict[int, list[tuple[int, str]]] = {}
    for name, process in deployment.targets.items():
        if not name.startswith(CHAINS) or process.popen.poll() is not None:
            continue
        url = f'{process.ready["url"]}/control/counts'
        for count in requester.send('GET', url).read_json():
            if count['request'] == request:
                attempt = found.setdefault(count['attempt'], [])
                attempt.append((count['first_layer'], name))
    return {
        attempt: [name for _, name in sorted(stages)]
        for attempt, stages in found.items()
    }


def show_call(deployment: Deployment) -> bool:
    """Send an idempotent call."""
    path = f'/v1/workspaces/{WORKSPACE}/services/status/read-slot'
    body = json.dumps(read_request('slot-status')).encode()
    answer = requester.send('POST', deployment.get_caller_url() + path, body)
    print(f'\nPOST {path}\n  {answer.status} {answer.body.decode()}')
    return answer.status == 200


def show_action(
    deployment: Deployment, operation: str, request_name: str
) -> bool:
    """Send an action with one key through every entry.

    Returns
    -------
    bool
        Whether it ran once and all responses are equal.
    """
    path = f'/v1/workspaces/{WORKSPACE}/services/booking/{operation}'
    body = json.dumps(read_request(request_name)).encode()
    key = str(identifiers.make_uuid7(clock.Clock().wall(), hash(operation)))
    print(f'\nPOST {path}\n  Idempotency-Key: {key}')
    bodies = set()
    for number in range(len(deployment.entries)):
        answer = requester.send(
            'POST',
            deployment.get_caller_url(number) + path,
            body,
            {'Idempotency-Key': key},
        )
        replayed = answer.headers.get('Idempotency-Replayed')
        print(f'  {answer.status} replayed={replayed} {answer.body.decode()}')
        bodies.add(answer.body)
    executions = count_executions(deployment, key)
    print(f'  executions at the targets: {executions}')
    return executions == 1 and len(bodies) == 1


def count_executions(deployment: Deployment, key: str) -> int:
    """Return how often all services together executed a key."""
    total = 0
    for name, process in deployment.targets.items():
        if name.startswith(CHAINS):
            continue
        url = f'{process.ready["url"]}/control/counts'
        counts = requester.send('GET', url).read_json()
        total += counts['executions'].get(key, 0)
    return total


async def show_engine_killed(deployment: Deployment) -> bool:
    """Kill an engine of the pipeline in mid-stream and check the stream."""
    path = '/v1/workspaces/bidwright/models/brief-writer/generate'
    body = {'prompt': 'Compare two slots.', 'max_tokens': DRAFT_TOKENS}
    received = bytearray()
    kill_ready = asyncio.Event()

    def store_chunk(chunk: bytes) -> None:
        received.extend(chunk)
        if received.count(b'event: tokens') >= KILL_AFTER_TOKENS:
            kill_ready.set()

    print(f'\nPOST {path}, and an engine is killed in mid-stream')
    answer, killed = await asyncio.gather(
        requester.send_async(
            'POST',
            deployment.get_caller_url(2) + path,
            json.dumps(body).encode(),
            on_chunk=store_chunk,
        ),
        kill_busy_engine(deployment, kill_ready),
    )
    print(f'  killed {killed} after {KILL_AFTER_TOKENS} events')
    response = attrs.evolve(answer, body=bytes(received))
    return await asyncio.to_thread(
        check_stream, deployment, response, DRAFT_TOKENS
    )


async def kill_busy_engine(
    deployment: Deployment, kill_ready: asyncio.Event
) -> str:
    """Kill an engine that runs a request, after the first stage.

    Returns
    -------
    str
        Name of the engine.
    """
    await kill_ready.wait()
    for name, process in deployment.targets.items():
        if not name.startswith(CHAINS) or name.endswith('-1'):
            continue
        url = f'{process.ready["url"]}/control/counts'
        counts = (await requester.send_async('GET', url)).read_json()
        if any(len(count['indexes']) < DRAFT_TOKENS for count in counts):
            process.kill()
            return name
    raise RuntimeError('no engine after the first stage runs a stream')


if __name__ == '__main__':
    sys.exit(main())
