"""Selection of the members to exchange messages with."""

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
    """Return ``count`` random members, or all if there are fewer."""
    return random.sample(members, min(count, len(members)))


def list_live_others(
    view: views.View, excluded: str = ''
) -> list[records.Record]:
    """Return the live members except this process and ``excluded``."""
    names = (view.own.incarnation, excluded)
    return [
        record
        for name in view.list_live()
        if name not in names and (record := view.find(name)) is not None
    ]


def list_behind(view: views.View, version: int) -> list[records.Record]:
    """Return live other members not known to have a version in force."""
    return [r for r in list_live_others(view) if r.version < version]


def list_lost_addresses(view: views.View, seeds: Iterable[str]) -> list[str]:
    """Return addresses where dead or unknown members may run.

    Returns
    -------
    list of str
        Sorted addresses of the seeds and of dead members, except those of
        live members.
    """
    lost = set(seeds)
    lost.update(
        record.identity.peer_address
        for record in view
        if record.status is messages.Status.DEAD
    )
    lost.difference_update(
        record.identity.peer_address for record in view if record.is_listed
    )
    return sorted(lost)


def choose_sync_address(
    view: views.View,
    seeds: Iterable[str],
    random: randoms.Random,
    prefers_lost: bool = False,
) -> str | None:
    """Choose the address of the member to sync with.

    After a long network partition both sides list each other as dead and
    would never exchange messages again. So the addresses of dead members,
    and of seeds without a live member, get a share of the choices.

    Parameters
    ----------
    view : View
        The member table.
    seeds : iterable of str
        Peer addresses from the platform.
    random : random.Random
        Source of the choice.
    prefers_lost : bool, optional
        Whether these addresses are always chosen while there are any.

    Returns
    -------
    str or None
        None when there is no other member.
    """
    live = [r.identity.peer_address for r in list_live_others(view)]
    lost = list_lost_addresses(view, seeds)
    if lost and (not live or prefers_lost or random.random() < _LOST_SHARE):
        return random.choice(lost)
    return random.choice(live) if live else None
