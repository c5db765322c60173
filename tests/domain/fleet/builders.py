"""Builders of engines, models and fleets."""

from __future__ import annotations

import typing

from thornspool.domain.fleet import messages

KINDS = {
    'large': messages.Accelerator(72_000.0, 1.4, 1.0),
    'medium': messages.Accelerator(36_000.0, 3.1, 3.2),
    'small': messages.Accelerator(21_600.0, 16.0, 8.2),
    'tiny': messages.Accelerator(14_400.0, 15.0, 15.0),
}

DOMAINS = {
    'a': ('large', 'medium', *['small'] * 5, *['tiny'] * 7),
    'b': ('medium', *['small'] * 8, *['tiny'] * 3),
    'c': ('medium', 'medium', *['small'] * 4, *['tiny'] * 7),
}


def build_model(**changes: typing.Any) -> messages.Model:
    """Build a model of 80 layers of 1,750 MB."""
    values: dict[str, typing.Any] = {
        'layers': 80,
        'layer_mb': 1750.0,
        'token_bytes': 1_180_000.0,
        'step_ms': 0.85,
        'per_sequence_ms': 0.00764,
        'read_per_s': 196_000.0,
        'load_s': 14.0,
        'usual_prompt': 772.0,
        'usual_answer': 174.0,
        'accelerators': KINDS,
    }
    values.update(changes)
    return messages.Model(**values)


def build_server(name: str = 'a-0', **changes: typing.Any) -> messages.Server:
    """Build a server; its failure domain is the first part of its name."""
    domain, _, number = name.partition('-')
    values: dict[str, typing.Any] = {
        'id': name,
        'service': 'drafting',
        'address': f'10.0.{ord(domain[0])}.{number or 0}:8000',
        'failure_domain': domain,
        'slots': 96,
        'draining': False,
        'started_at': 1,
    }
    values.update(changes)
    return messages.Server(**values)


def build_engine(
    name: str, kind: str = 'small', first: int = -1, end: int = -1
) -> messages.Server:
    """Build an engine; without a range, it has no layers."""
    layers = messages.LayerRange(first, end) if end > 0 else None
    return build_server(name, kind=kind, layers=layers)


def build_domain(domain: str) -> list[messages.Server]:
    """Build the engines of a failure domain, without layers."""
    return [
        build_engine(f'{domain}-{number}', kind)
        for number, kind in enumerate(DOMAINS[domain])
    ]
