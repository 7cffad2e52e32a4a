"""Parses and validates the body and headers of a chat request.

Only the fields that the routers use are validated; all others are sent to the engine unchanged.
"""

import json
import math
from typing import Any

from laburnumpier_core.errors import RequestError
from laburnumpier_core.hashing import hash_body
from laburnumpier_core.result_codes import ResultCode

MESSAGE_OVERHEAD_TOKENS = 8
PREFIX_CHARACTERS = 256
MAX_MESSAGES = 4096


def decode_body(raw: bytes) -> dict[str, Any]:
    """Decodes a JSON object.

    Args:
        raw: The body.

    Returns:
        The object.

    Raises:
        RequestError: If the body is not a JSON object.
    """
    try:
        body = json.loads(raw, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise RequestError(ResultCode.BROKEN_JSON) from error
    if not isinstance(body, dict):
        raise _make_field_error("body", "must be a JSON object")
    return body


def get_model_name(body: dict[str, Any]) -> str:
    """Returns the name of the requested model.

    Raises:
        RequestError: If it is missing.
    """
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise _make_field_error("model", "must be a name")
    return model


def validate_messages(body: dict[str, Any]) -> None:
    """Validates the messages.

    Raises:
        RequestError: If they are missing or malformed.
    """
    messages = body.get("messages")
    if not isinstance(messages, list) or not 1 <= len(messages) <= MAX_MESSAGES:
        raise _make_field_error("messages", f"must be a list of 1 to {MAX_MESSAGES} messages")
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _make_field_error("messages", "each message must be an object with a role")
        if not isinstance(message.get("content"), str | list | None):
            raise _make_field_error("messages", "content must be text or a list of parts")


def get_max_tokens(body: dict[str, Any], model_limit: int) -> int:
    """Returns the maximum number of tokens in the answer.

    Args:
        body: The request's body.
        model_limit: Maximum tokens that the model allows; the default if the body has none.

    Raises:
        RequestError: If the value is not an integer from 1 to the model's limit.
    """
    value = body.get("max_completion_tokens", body.get("max_tokens"))
    if value is None:
        return model_limit
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 1 <= value <= model_limit:
        raise _make_field_error("max_tokens", f"must be a whole number from 1 to {model_limit}")
    return value


def validate_options(body: dict[str, Any]) -> None:
    """Validates the fields for streaming and the number of choices.

    Raises:
        RequestError: If one of them is malformed or more than one choice is requested.
    """
    if not isinstance(body.get("stream", False), bool):
        raise _make_field_error("stream", "must be true or false")
    if body.get("n", 1) != 1:
        raise _make_field_error("n", "only one answer can be asked for")
    if not isinstance(body.get("stream_options") or {}, dict):
        raise _make_field_error("stream_options", "must be an object")


def is_usage_requested(body: dict[str, Any]) -> bool:
    """Whether the caller requested a usage event at the end of the stream."""
    return bool((body.get("stream_options") or {}).get("include_usage", False))


def compute_max_prompt_tokens(body: dict[str, Any]) -> int:
    """Returns an upper bound of the prompt's tokens.

    Common vocabularies have no token shorter than a byte, and the chat template adds a few tokens
    for each message. All fields that may become part of the prompt are counted, including tools.
    """
    parts = [body.get("messages"), body.get("tools"), body.get("response_format")]
    text = json.dumps([part for part in parts if part is not None], ensure_ascii=False)
    overhead = MESSAGE_OVERHEAD_TOKENS * len(body.get("messages") or [])
    return len(text.encode("utf-8", "surrogatepass")) + overhead


def hash_prompt_prefix(body: dict[str, Any]) -> str:
    """Returns the hash of the prompt's first characters, which similar requests share."""
    first = body["messages"][0]
    text = json.dumps(first, ensure_ascii=True)[:PREFIX_CHARACTERS]
    return hash_body(f"{body.get('model')}:{text}".encode())


def make_engine_body(body: dict[str, Any], max_tokens: int) -> dict[str, Any]:
    """Returns the body for an engine: streamed, with a token limit and usage in each event."""
    engine_body = {key: value for key, value in body.items() if key != "max_completion_tokens"}
    engine_body["stream"] = True
    engine_body["max_tokens"] = max_tokens
    engine_body["stream_options"] = {"include_usage": True, "continuous_usage_stats": True}
    return engine_body


def parse_deadline(text: str | None, default_seconds: float) -> float:
    """Parses the deadline header.

    Args:
        text: The header, in seconds from now, or None.
        default_seconds: Time limit without a header, in seconds from now.

    Returns:
        Seconds from now.

    Raises:
        RequestError: If the text is not a number from 0.01 to 86400.
    """
    if text is None:
        return default_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0.01 <= seconds <= 86400:
        raise RequestError(
            ResultCode.INVALID_DEADLINE, detail="the deadline must be from 0.01 to 86400 seconds"
        )
    return seconds


def parse_idempotency_key(text: str | None) -> str | None:
    """Parses the idempotency key header, quoted as in the IETF draft or unquoted.

    Args:
        text: The header, or None.

    Returns:
        The key, or None without a header.

    Raises:
        RequestError: If the key is empty or too long, or has a slash or a character that is not
            visible ASCII.
    """
    if text is None:
        return None
    key = text.strip()
    if len(key) >= 2 and key[0] == key[-1] == '"':
        key = key[1:-1]
    visible = all("!" <= character <= "~" for character in key)
    if not 1 <= len(key) <= 200 or not visible or "/" in key:
        raise RequestError(
            ResultCode.INVALID_IDEMPOTENCY_KEY,
            detail="the key must have 1 to 200 visible ASCII characters other than '/'",
        )
    return key


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _make_field_error(field: str, problem: str) -> RequestError:
    return RequestError(ResultCode.INVALID_FIELD, detail=f"{field}: {problem}")
