"""Show thornspool on the platform's protocols, as real processes.

Two entries, a store, engines and plain servers run on loopback. Engines
start empty and get their layers; a stream, an action and a read come back;
an engine is killed in the middle of a stream, and the stream goes on. The
exit code is 1 when anything is not as promised.
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
    """How many promises were looked at, and how many were kept."""

    kept: int = 0
    looked_at: int = 0

    def check(self, promise: str, is_kept: bool) -> None:
        """Print whether a promise is kept."""
        self.looked_at += 1
        self.kept += is_kept
        print(f'  {"kept" if is_kept else "BROKEN"}: {promise}')


def _show_placement(deployment: deployments.Deployment) -> None:
    held = deployment.read_fleet()['servers']
    for name, layers in sorted(held.items()):
        if layers is not None:
            print(f'  {name} holds layers {layers["from"]} to {layers["to"]}')


def _show_answers(entry: deployments.Entry, result: Result) -> None:
    print('\nPOST /brief/1, a stream of text')
    answer = entry.call('POST', '/brief/1', 1)
    print(f'  {answer.status}, {answer.body.count(b"id:")} events')
    result.check('the whole stream came back', answer.body == _make_whole())
    print('\nPOST /hold/1, an action')
    answer = entry.call('POST', '/hold/1', 2)
    print(f'  {answer.status} {answer.body.decode()}')
    result.check('the action was answered', answer.status == 200)
    print('\nGET /read/1, a read')
    answer = entry.call('GET', '/read/1', 3)
    result.check('the read was answered', answer.status == 200)
    print('\nGET /read/1 with a key that nobody gave out')
    answer = entry.call('GET', '/read/1', 4, 'no')
    result.check('it was refused with 401', answer.status == 401)


def _show_loss(deployment: deployments.Deployment, result: Result) -> None:
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
    result.check('each event came once', answer.body == _make_whole())
    ran = deployment.read_fleet()
    result.check('the action ran once', ran['runs']['request-2'] == 1)
    result.check('no path left out a layer', ran['wrong_paths'] == 0)


def _make_whole() -> bytes:
    return b''.join(
        b'id: %d\ndata: word%d\n\n' % (number, number)
        for number in range(kv_fleet.EVENTS)
    )


def _is_placed(deployment: deployments.Deployment) -> bool:
    held = deployment.read_fleet()['servers'].values()
    return all(held) and all(
        one.is_ready() and one.call('POST', '/brief/0', 0).status == 200
        for one in deployment.entries
    )


def main() -> int:
    """Run the demonstration."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    began = time.monotonic()
    result = Result()
    with processes.open_processes() as running:
        deployment = deployments.Deployment(running)
        for domain in ('a', 'b'):
            deployment.start_entry(domain)
        print('Engines start empty; one entry leads and gives them layers.')
        deployments.wait_until(lambda: _is_placed(deployment))
        _show_placement(deployment)
        _show_answers(deployment.entries[0], result)
        _show_loss(deployment, result)
    seconds = time.monotonic() - began
    print(
        f'\n{result.kept} of {result.looked_at} as promised, {seconds:.1f} s'
    )
    return 0 if result.kept == result.looked_at else 1


if __name__ == '__main__':
    sys.exit(main())
