"""Demo of thornspool with the platform's protocols, as real processes.

Two entries, a store, engines and plain servers run on loopback. The engines
start empty and are assigned layers. The demo sends a stream, an action and a
read, then kills an engine in mid-stream and verifies that the stream resumes
on another engine. The exit code is 1 when a check fails.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import sys
import time

import attrs

from standins import kv_fleet
from tests.platform import deployment as deployments
from tools import processes

KILL_AFTER_S = 0.2


@attrs.define
class Result:
    """Counts of the checks.

    Attributes
    ----------
    passed, total : int
        Checks that passed, and all checks.
    """

    passed: int = 0
    total: int = 0

    def check(self, condition: str, is_met: bool) -> None:
        """Count a check and print its outcome."""
        self.total += 1
        self.passed += is_met
        print(f'  {"kept" if is_met else "BROKEN"}: {condition}')


def _show_placement(deployment: deployments.Deployment) -> None:
    layers_by_server = deployment.read_fleet()['servers']
    for name, layers in sorted(layers_by_server.items()):
        if layers is not None:
            print(f'  {name} holds layers {layers["from"]} to {layers["to"]}')


def _show_responses(entry: deployments.Entry, result: Result) -> None:
    print('\nPOST /brief/1, a stream of text')
    answer = entry.call('POST', '/brief/1', 1)
    print(f'  {answer.status}, {answer.body.count(b"id:")} events')
    result.check(
        'the stream was complete', answer.body == _build_expected_stream()
    )
    print('\nPOST /hold/1, an action')
    answer = entry.call('POST', '/hold/1', 2)
    print(f'  {answer.status} {answer.body.decode()}')
    result.check('the action succeeded', answer.status == 200)
    print('\nGET /read/1, a read')
    answer = entry.call('GET', '/read/1', 3)
    result.check('the read succeeded', answer.status == 200)
    print('\nGET /read/1 with an unknown API key')
    answer = entry.call('GET', '/read/1', 4, 'no')
    result.check('the read was refused with 401', answer.status == 401)


def _show_engine_killed(
    deployment: deployments.Deployment, result: Result
) -> None:
    print('\nPOST /brief/1, and engine a-1 is killed in mid-stream')
    entry = deployment.entries[0]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(entry.call, 'POST', '/brief/1', 7)
        deployments.wait_until(
            lambda: deployment.read_fleet()['runs'].get('request-7')
        )
        time.sleep(KILL_AFTER_S)
        deployment.control(kill='a-1')
        answer = waiting.result()
    for line in entry.find_lines('run_repeated', id='request-7'):
        print(f'  {line[line.index("event=") :]}')
    result.check(
        'each event arrived once', answer.body == _build_expected_stream()
    )
    fleet_state = deployment.read_fleet()
    result.check('the action ran once', fleet_state['runs']['request-2'] == 1)
    result.check(
        'every path covered all layers', fleet_state['wrong_paths'] == 0
    )


def _build_expected_stream() -> bytes:
    return b''.join(
        b'id: %d\ndata: word%d\n\n' % (number, number)
        for number in range(kv_fleet.EVENTS)
    )


def _is_placed(deployment: deployments.Deployment) -> bool:
    layers_by_server = deployment.read_fleet()['servers'].values()
    return all(layers_by_server) and all(
        entry.is_ready() and entry.call('POST', '/brief/0', 0).status == 200
        for entry in deployment.entries
    )


def main() -> int:
    """Run the demonstration."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    started = time.monotonic()
    result = Result()
    with processes.open_processes() as running:
        deployment = deployments.Deployment(running)
        for domain in ('a', 'b'):
            deployment.start_entry(domain)
        print('Engines start empty; the leader assigns layers to them.')
        deployments.wait_until(lambda: _is_placed(deployment))
        _show_placement(deployment)
        _show_responses(deployment.entries[0], result)
        _show_engine_killed(deployment, result)
    seconds = time.monotonic() - started
    print(f'\n{result.passed} of {result.total} as promised, {seconds:.1f} s')
    return 0 if result.passed == result.total else 1


if __name__ == '__main__':
    sys.exit(main())
