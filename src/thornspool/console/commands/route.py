"""The command that explains where a request would go now."""

from __future__ import annotations

import os
import pathlib
import typing
import urllib.parse

from thornspool.console import base
from thornspool.console import client
from thornspool.console import exceptions

if typing.TYPE_CHECKING:
    import argparse
    from collections.abc import Iterator

METRICS_URL_VARIABLE = 'THORNSPOOL_METRICS_URL'


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('host', metavar='HOST', help='host of the request')
    parser.add_argument('path', metavar='PATH', help='path of the request')
    parser.add_argument(
        '--metrics-url',
        default=os.environ.get(METRICS_URL_VARIABLE, ''),
        help='metrics address of an entry on the platform, for instance '
        f'http://127.0.0.1:7355; default: ${METRICS_URL_VARIABLE}',
    )
    parser.add_argument(
        '--key-file',
        type=pathlib.Path,
        help='file that contains the API key of the request; default: no key',
    )
    for name in ('prompt', 'output'):
        parser.add_argument(
            f'--{name}-tokens',
            type=float,
            metavar='N',
            help=f'{name} tokens of a request to a model; default: what the '
            'entry assumes',
        )
    client.add_connection_options(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    if not options.metrics_url:
        raise exceptions.BadUsage(
            'No entry is specified.',
            f'Use --metrics-url or set {METRICS_URL_VARIABLE}.',
        )
    query = urllib.parse.urlencode(_build_query(options))
    url = f'{options.metrics_url.rstrip("/")}/v1/route?{query}'
    reply = client.fetch(options, url)
    if reply.status == 400:
        raise exceptions.BadUsage(client.read_detail(reply))
    value = client.expect_ok(reply)
    console.write_result(value, _format(value))
    if value['outcome'] == 'refused':
        return exceptions.ExitCode.PROBLEM
    return exceptions.ExitCode.OK


def _build_query(options: argparse.Namespace) -> dict[str, typing.Any]:
    query = {'host': options.host, 'path': options.path}
    if options.key_file is not None:
        try:
            query['key'] = options.key_file.read_text().strip()
        except OSError as error:
            raise exceptions.BadUsage(
                f'The key file cannot be read: {error}.',
                'Specify a readable file with --key-file.',
            ) from error
    for name in ('prompt_tokens', 'output_tokens'):
        if getattr(options, name) is not None:
            query[name] = getattr(options, name)
    return query


def _format(value: dict[str, typing.Any]) -> Iterator[str]:
    reason = f' ({value["reason"]})' if value['reason'] else ''
    yield f'The request is {_OUTCOMES[value["outcome"]]}{reason}.'
    yield (
        f'Configuration {value["configuration"]}, confirmed '
        f'{value["copy_age_ms"]} ms ago: {value["verdict"]}.'
    )
    if value['route']:
        yield (
            f'Route {value["route"]} ({value["kind"]}), service '
            f'{value["service"] or "not chosen"}.'
        )
    if value['links_lost']:
        yield 'The entry reaches no server and passes requests on to peers.'
    if value['model'] is not None:
        yield from _format_model(value['model'])
    if value['call'] is not None:
        yield from _format_call(value['call'])
    if value['excluded']:
        yield 'Excluded:'
        yield from base.format_table(
            ('SERVER', 'DOMAIN', 'REASON', ''),
            [
                [one[name] for name in _EXCLUDED_MEMBERS]
                for one in value['excluded']
            ],
        )
    if value['random_choices']:
        yield f'Random for each request: {", ".join(value["random_choices"])}.'


_EXCLUDED_MEMBERS = ('server', 'failure_domain', 'reason', 'detail')
_OUTCOMES = {'sent': 'sent', 'waits': 'queued', 'refused': 'refused'}


def _format_model(model: dict[str, typing.Any]) -> Iterator[str]:
    yield (
        f'{model["prompt_tokens"]:.0f} prompt and {model["output_tokens"]:.0f}'
        ' output tokens, which may reserve up to '
        f'{model["max_reserved_share"]:.2f} of the memory of each engine.'
    )
    if not model['may_use_free']:
        yield 'The free memory is the share of other entries.'
    if model['estimated_wait_ms'] is not None:
        yield f'Estimated wait: {model["estimated_wait_ms"]:.0f} ms.'
    if model['path'] is not None:
        yield f'Path: {_format_hops(model["path"])}'
    yield from base.format_table(
        ('DOMAIN', 'COST_MS', 'EXTRA_MS', 'PATH'),
        [
            (
                one['failure_domain'],
                '' if one['cost_ms'] is None else round(one['cost_ms']),
                round(one['extra_cost_ms']),
                one['reason'] or _format_hops(one),
            )
            for one in model['domains']
        ],
    )


def _format_hops(path: dict[str, typing.Any]) -> str:
    return ', '.join(
        f'{hop["server"]}={hop["first"]}-{hop["end"]}' for hop in path['hops']
    )


def _format_call(call: dict[str, typing.Any]) -> Iterator[str]:
    yield f'Server: {call["server"] or "none"}'
    yield from base.format_table(
        ('SERVER', 'DOMAIN', 'SCORE'),
        [
            (one['server'], one['failure_domain'], f'{one["score"]:.3f}')
            for one in call['servers']
        ],
    )


COMMAND = base.Command(
    'route',
    'Explain where a request would go now, without sending it.',
    'thornspool route shop.example /drafts/1 --metrics-url '
    'http://127.0.0.1:7355',
    _add_options,
    _run,
)
