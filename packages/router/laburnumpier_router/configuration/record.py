"""Stored configuration record: number, document and notes of recent patches."""

from typing import Any, Protocol

import msgspec
from laburnumpier_core.decoding import decode_json

from ..intake.limits import StatedLimits
from .document import Configuration, ConfigurationProblem, check_configuration

CONFIGURATION_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"
MAX_PATCH_NOTES = 500


class PatchNote(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of an applied patch.

    Attributes:
        patch_id: Identifier chosen by the operator; a patch with a known identifier is not
            applied again.
        number: Number of the resulting configuration.
        author: Name given by the operator.
        at: Wall-clock time in seconds since the Unix epoch.
    """

    patch_id: str
    number: int
    author: str
    at: float


class ConfigurationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A numbered configuration; `document` is the JSON object.

    Attributes:
        limits: Limits of callers that come with the configuration; None if nothing is known of
            them, as in records of routers of earlier releases, which ignore them in others.
    """

    number: int = 0
    document: dict[str, Any] = {}
    notes: tuple[PatchNote, ...] = ()
    limits: StatedLimits | None = None

    def find_note(self, patch_id: str) -> PatchNote | None:
        """Returns the note of an applied patch, or None if the patch is unknown."""
        for note in self.notes:
            if note.patch_id == patch_id:
                return note
        return None


class RecordFormat(Protocol):
    """Location and encoding of the configuration in the store."""

    @property
    def key(self) -> str:
        """Store key of the current configuration."""

    def decode(self, value: bytes) -> ConfigurationRecord:
        """Decodes a stored record.

        Raises:
            UnreadableDataError: If the value is invalid.
        """


class JsonRecordFormat:
    """Default format: a JSON-encoded record, to which operator patches are written."""

    __slots__ = ()

    @property
    def key(self) -> str:
        """Store key of the current configuration."""
        return CONFIGURATION_KEY

    def decode(self, value: bytes) -> ConfigurationRecord:
        """Decodes a stored record.

        Raises:
            UnreadableDataError: If the value is invalid.
        """
        return decode_json(value, ConfigurationRecord)


def merge_patch(target: Any, patch: Any) -> Any:
    """Applies a JSON Merge Patch (RFC 7396).

    Args:
        target: Current JSON value.
        patch: Patch; members that are `null` are removed.

    Returns:
        The patched value; the target is not modified.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def decode_document(document: dict[str, Any]) -> tuple[Configuration, list[ConfigurationProblem]]:
    """Decodes and validates a configuration document.

    Args:
        document: JSON object.

    Returns:
        The configuration, empty if it cannot be decoded, and all problems found.
    """
    try:
        configuration = msgspec.convert(document, Configuration)
    except msgspec.ValidationError as error:
        return Configuration(), [ConfigurationProblem(path="document", problem=str(error))]
    return configuration, check_configuration(configuration)
