"""Reads and checks the body of a chat request.

The check covers what the routers need; all other fields are passed on to the engine as they are.
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
        body = json.loads(raw, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise RequestError(ResultCode.BROKEN_JSON) from error
    if not isinstance(body, dict):
        raise _field_error("body", "must be a JSON object")
    return body


def get_model_name(body: dict[str, Any]) -> str:
    """Returns the model that a body names.

    Raises:
        RequestError: If it names none.
    """
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise _field_error("model", "must be a name")
    return model


def validate_messages(body: dict[str, Any]) -> None:
    """Checks the conversation of a body.

    Raises:
        RequestError: If it is missing or malformed.
    """
    messages = body.get("messages")
    if not isinstance(messages, list) or not 1 <= len(messages) <= MAX_MESSAGES:
        raise _field_error("messages", f"must be a list of 1 to {MAX_MESSAGES} messages")
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _field_error("messages", "each message must be an object with a role")
        if not isinstance(message.get("content"), str | list | None):
            raise _field_error("messages", "content must be text or a list of parts")


def get_max_tokens(body: dict[str, Any], model_limit: int) -> int:
    """Returns the most tokens that the answer may have.

    Args:
        body: The request's body.
        model_limit: Limit of the model, also used when the body names none.

    Raises:
        RequestError: If the figure is not a whole number from 1 to the model's limit.
    """
    value = body.get("max_completion_tokens", body.get("max_tokens"))
    if value is None:
        return model_limit
    whole = isinstance(value, int) and not isinstance(value, bool)
    if not whole or not 1 <= value <= model_limit:
        raise _field_error("max_tokens", f"must be a whole number from 1 to {model_limit}")
    return value


def validate_options(body: dict[str, Any]) -> None:
    """Checks the fields that change how an answer is delivered.

    Raises:
        RequestError: If one of them is malformed or asks for several answers.
    """
    if not isinstance(body.get("stream", False), bool):
        raise _field_error("stream", "must be true or false")
    if body.get("n", 1) != 1:
        raise _field_error("n", "only one answer can be asked for")
    if not isinstance(body.get("stream_options") or {}, dict):
        raise _field_error("stream_options", "must be an object")


def is_usage_requested(body: dict[str, Any]) -> bool:
    """Returns whether the caller asked for a usage event at the end of its stream."""
    return bool((body.get("stream_options") or {}).get("include_usage", False))


def compute_max_prompt_tokens(body: dict[str, Any]) -> int:
    """Returns an upper bound of the prompt's tokens.

    No token of the common vocabularies is shorter than a byte, and each message costs a few
    more for its frame. Everything that may become part of the prompt is counted, tools
    included.
    """
    parts = [body.get("messages"), body.get("tools"), body.get("response_format")]
    text = json.dumps([part for part in parts if part is not None], ensure_ascii=False)
    overhead = MESSAGE_OVERHEAD_TOKENS * len(body.get("messages") or [])
    return len(text.encode("utf-8", "surrogatepass")) + overhead


def hash_prompt_prefix(body: dict[str, Any]) -> str:
    """Returns the hash of the prompt's first part, which requests of one use have in common."""
    first = body["messages"][0]
    text = json.dumps(first, ensure_ascii=True)[:PREFIX_CHARACTERS]
    return hash_body(f"{body.get('model')}:{text}".encode())


def make_engine_body(body: dict[str, Any], max_tokens: int) -> dict[str, Any]:
    """Returns the body sent to an engine: streamed, capped, and with usage in each event."""
    sent = {key: value for key, value in body.items() if key != "max_completion_tokens"}
    sent["stream"] = True
    sent["max_tokens"] = max_tokens
    sent["stream_options"] = {"include_usage": True, "continuous_usage_stats": True}
    return sent


def parse_deadline(text: str | None, default_seconds: float) -> float:
    """Reads the deadline header.

    Args:
        text: Seconds from now, or None.
        default_seconds: Used when there is no header.

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
    """Reads the idempotency key header, quoted as the draft has it or plain.

    Args:
        text: The header, or None.

    Returns:
        The key, or None without a header.

    Raises:
        RequestError: If the key is empty, too long, or holds other than visible ASCII characters.
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


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _field_error(field: str, problem: str) -> RequestError:
    return RequestError(ResultCode.INVALID_FIELD, detail=f"{field}: {problem}")
