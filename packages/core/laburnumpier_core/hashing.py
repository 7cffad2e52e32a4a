"""Stable hashes for placement and cryptographic hashes of API keys."""

import hashlib
from collections.abc import Iterable

import xxhash

KEY_HASH_PREFIX = "sha256:"


def hash_key(secret: str) -> str:
    """Returns the hash under which the configuration stores an API key.

    Args:
        secret: The API key. Keys are random with high entropy, so an unsalted fast hash is
            sufficient.

    Returns:
        The hexadecimal SHA-256 digest with the prefix `sha256:`.
    """
    return KEY_HASH_PREFIX + hashlib.sha256(secret.encode()).hexdigest()


def hash_body(body: bytes) -> str:
    """Returns the digest that tells whether two attempts carry the same request body."""
    return xxhash.xxh3_128_hexdigest(body)


def choose_shard(workspace: str, shard_count: int) -> int:
    """Returns the index of the shard that stores a workspace's account.

    Args:
        workspace: Name of the workspace.
        shard_count: Number of shards in the deployment.
    """
    return xxhash.xxh3_64_intdigest(workspace.encode()) % shard_count


def rank_by_rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Orders candidates for a key by rendezvous hashing.

    Args:
        key: The item to place.
        candidates: Names of the possible targets.

    Returns:
        All candidates, the preferred one first. Removing a candidate does not change the order
        of the others.
    """

    def score(candidate: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())

    return sorted(candidates, key=score, reverse=True)
