"""Identifies requests that come again: the same call by the same workspace with the same body."""

import hashlib

from .exchange import ForwardRequest

DIGEST_BYTES = 16
PREFIX = "request,"
"""Begins each fingerprint. Ids of prompt parts hold no comma, so none is taken for a request."""


def make_request_fingerprint(request: ForwardRequest, workspace: str) -> str:
    """Returns the fingerprint of a request.

    Attempt ids, deadlines and other headers differ each time and are left out.

    Args:
        request: The request.
        workspace: Workspace that the caller's key belongs to; empty if the request needs none.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (request.method, request.host, request.target, workspace):
        # The length before each text keeps its end apart from the begin of the next one.
        encoded = text.encode(errors="surrogateescape")
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    digest.update(request.body)
    return PREFIX + digest.hexdigest()


def is_request_fingerprint(suspect: str) -> bool:
    """Returns whether a suspect is a whole request, not a part of prompts."""
    return suspect.startswith(PREFIX)
