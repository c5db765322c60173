"""Tests of the encoding of buckets and heads, and of their sizes."""

from __future__ import annotations

import random
import unittest

from tests.application import configuration_builders as make
from thornspool.domain.configuration import contents as contents_module
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import exceptions
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import publications
from thornspool.domain.configuration import storage

DESIGN_WORKSPACE_COUNT = 14_000
SEED = 7


def _build_incompressible(rng: random.Random) -> documents.Workspace:
    """Build a workspace of random text, which hardly compresses."""
    models = tuple(f'{rng.getrandbits(240):060x}' for _ in range(12))
    limits = documents.Limits(rng.random(), rng.random(), 100)
    return documents.Workspace(f'{rng.getrandbits(240):060x}', models, limits)


class BucketTest(unittest.TestCase):
    def test_bucket_round_trip_keeps_documents_and_removals(self) -> None:
        workspace = make.build_workspace('alpha', 2)
        removed_key = documents.DocumentKey(
            documents.DocumentKind.TARGET, 'gone'
        )
        bucket = {
            documents.build_key(workspace): storage.StoredDocument(
                4, workspace
            ),
            removed_key: storage.StoredDocument(3, None),
        }
        value = storage.encode_bucket(bucket)
        digest = storage.compute_digest(value)
        self.assertEqual(bucket, storage.decode_bucket(digest, value))

    def test_bytes_that_do_not_match_digest_are_rejected(self) -> None:
        """A bucket was cleared, or a peer returns another bucket."""
        expected, other = (
            storage.encode_bucket(
                {
                    documents.build_key(one): storage.StoredDocument(1, one),
                }
            )
            for one in map(make.build_workspace, ('alpha', 'beta'))
        )
        digest = storage.compute_digest(expected)
        for name, value in {'empty': b'', 'another': other}.items():
            with (
                self.subTest(name),
                self.assertRaises(exceptions.DigestMismatch),
            ):
                storage.decode_bucket(digest, value)

    def test_malformed_values_are_rejected(self) -> None:
        """The key was overwritten, or a newer release wrote the value."""
        newer = heads.encode_head(heads.Head(format=heads.FORMAT_VERSION + 1))
        for value in (b'?', newer):
            with (
                self.subTest(value=value),
                self.assertRaises(exceptions.MalformedValue),
            ):
                heads.decode_head(value)
        digest = storage.compute_digest(b'?')
        with self.assertRaises(exceptions.MalformedValue):
            storage.decode_bucket(digest, b'?')

    def test_buckets_at_design_size_fit_platform_limit(self) -> None:
        """Random names keep compression from reducing the sizes."""
        rng = random.Random(SEED)
        workspaces = tuple(
            _build_incompressible(rng) for _ in range(DESIGN_WORKSPACE_COUNT)
        )
        by_kind = contents_module.copy_by_kind(documents.Snapshot())
        by_kind[documents.DocumentKind.MODEL].update(
            {
                name: documents.Model(name, '1', 1, ())
                for one in workspaces
                for name in one.models
            }
        )
        snapshot = contents_module.build_snapshot(0, by_kind)
        plan = publications.plan_publication(
            contents_module.Contents(snapshot=snapshot),
            make.build_publication('all', 0, *workspaces),
            0,
        )
        assert isinstance(plan, publications.Plan)
        sizes = [len(value) for value in plan.values.values()]
        self.assertEqual(heads.BUCKET_COUNT, len(sizes))
        self.assertLess(max(sizes) * 4, storage.VALUE_LIMIT_BYTES)

    def test_largest_head_fits_platform_limit(self) -> None:
        rng = random.Random(SEED)
        names = tuple(f'service/{rng.getrandbits(240):060x}' for _ in range(8))
        record = heads.Record('i' * 100, 1, 'a' * 100, 1, 'm' * 500, names, 8)
        digests = tuple(
            f'{rng.getrandbits(128):032x}' for _ in range(heads.BUCKET_COUNT)
        )
        head = heads.Head(
            1,
            digests,
            (record,) * heads.HISTORY_LENGTH,
            digests[: heads.RETIRED_LENGTH],
        )
        self.assertEqual(head, heads.decode_head(heads.encode_head(head)))
        self.assertLess(
            len(heads.msgspec.json.encode(head)), storage.VALUE_LIMIT_BYTES
        )
