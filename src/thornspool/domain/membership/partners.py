"""Choice of the members that are spoken to."""

from __future__ import annotations

import typing

from thornspool.domain.membership import messages

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    import random as randoms

    from thornspool.domain.membership import records
    from thornspool.domain.membership import views

_LOST_SHARE = 0.5


def sample(
    members: Sequence[records.Record], count: int, random: randoms.Random
) -> list[records.Record]:
    """Choose some members, fewer when there are not as many."""
    return random.sample(members, min(count, len(members)))


def list_live_others(
    view: views.View, excluded: str = ''
) -> list[records.Record]:
    """Return the live members without this process and one other."""
    names = (view.own.incarnation, excluded)
    return [
        record
        for name in view.list_live()
        if name not in names and (record := view.find(name)) is not None
    ]


def list_behind(view: views.View, version: int) -> list[records.Record]:
    """Return the live others not known to have a version in force."""
    return [r for r in list_live_others(view) if r.version < version]


def list_lost(view: views.View, seeds: Iterable[str]) -> list[str]:
    """Return addresses that may lead to members believed gone or unknown.

    Returns
    -------
    list of str
        The seeds and the remembered dead, without the live members; sorted.
    """
    lost = set(seeds)
    lost.update(
        record.identity.peer_address
        for record in view
        if record.status is messages.Status.DEAD
    )
    lost.difference_update(
        record.identity.peer_address for record in view if record.is_live
    )
    return sorted(lost)


def choose_to_sync(
    view: views.View,
    seeds: Iterable[str],
    random: randoms.Random,
    prefers_lost: bool = False,
) -> str | None:
    """Choose the address to compare tables with.

    Both sides of a long cut hold each other for dead and would never speak
    again. So the remembered dead, and addresses of the platform's list
    where no live member is known, get a share of the choices.

    Parameters
    ----------
    view : View
        The table.
    seeds : iterable of str
        Peer addresses of the platform's list.
    random : random.Random
        Source of the choice.
    prefers_lost : bool, optional
        Whether they come first instead of getting a share.

    Returns
    -------
    str or None
        None when there is nobody.
    """
    live = [r.identity.peer_address for r in list_live_others(view)]
    lost = list_lost(view, seeds)
    if lost and (not live or prefers_lost or random.random() < _LOST_SHARE):
        return random.choice(lost)
    return random.choice(live) if live else None
