"""Stable hashes for placement, and one-way hashes for secrets."""

import hashlib
from collections.abc import Iterable

import xxhash

KEY_HASH_PREFIX = "sha256:"


def hash_key(secret: str) -> str:
    """Returns the form in which a secret key is stored in the configuration.

    Args:
        secret: A random key of high entropy; a plain hash is enough for such keys.

    Returns:
        The prefixed hexadecimal SHA-256 digest.
    """
    return KEY_HASH_PREFIX + hashlib.sha256(secret.encode()).hexdigest()


def hash_body(body: bytes) -> str:
    """Returns the digest by which two tries of one request are compared."""
    return xxhash.xxh3_128_hexdigest(body)


def choose_shard(workspace: str, shard_count: int) -> int:
    """Returns the number of the shard that holds a workspace's account.

    Args:
        workspace: Name of the workspace.
        shard_count: How many shards the deployment has.
    """
    return xxhash.xxh3_64_intdigest(workspace.encode()) % shard_count


def rank_by_rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Orders candidates for a key by rendezvous hashing.

    Args:
        key: What is placed.
        candidates: Names to choose from.

    Returns:
        All candidates, the preferred one first. Removing one leaves the order of the others as
        it is.
    """

    def score(candidate: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())

    return sorted(candidates, key=score, reverse=True)
