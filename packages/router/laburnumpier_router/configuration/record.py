"""The stored configuration: its number, its document and the notes of recent patches."""

from typing import Any, Protocol

import msgspec

from .document import Configuration, ConfigurationProblem, check_configuration

CONFIGURATION_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"
MAX_NOTES = 500


class PatchNote(msgspec.Struct, frozen=True, kw_only=True):
    """Who made which change when.

    Attributes:
        patch_id: Chosen by the operator; a patch with a known id is not applied again.
        number: Number of the configuration that the patch made.
        author: Name that the operator gave.
        at: Wall-clock time in seconds since the epoch.
    """

    patch_id: str
    number: int
    author: str
    at: float


class ConfigurationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One numbered configuration; `document` is its JSON object."""

    number: int = 0
    document: dict[str, Any] = {}
    notes: tuple[PatchNote, ...] = ()

    def find_note(self, patch_id: str) -> PatchNote | None:
        """Returns the note of a patch that was applied already, or None."""
        for note in self.notes:
            if note.patch_id == patch_id:
                return note
        return None


class RecordFormat(Protocol):
    """Where the configuration is stored, and how its bytes are read."""

    @property
    def key(self) -> str:
        """Key of the newest configuration in the store."""

    def decode(self, value: bytes) -> ConfigurationRecord:
        """Returns the stored record; raises `msgspec.MsgspecError` when it cannot be read."""


class OwnRecordFormat:
    """The project's own format, which the operators' patches are written to."""

    __slots__ = ()

    @property
    def key(self) -> str:
        """Key of the newest configuration in the store."""
        return CONFIGURATION_KEY

    def decode(self, value: bytes) -> ConfigurationRecord:
        """Returns the stored record.

        Raises:
            msgspec.MsgspecError: If it cannot be read.
        """
        return msgspec.json.decode(value, type=ConfigurationRecord)


def merge_patch(target: Any, patch: Any) -> Any:
    """Applies a JSON Merge Patch as RFC 7396 defines it.

    Args:
        target: The present JSON value.
        patch: The patch; `null` members remove.

    Returns:
        The patched value; the target is left as it was.
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
    """Turns a JSON object into a typed configuration and checks it.

    Args:
        document: The JSON object.

    Returns:
        The configuration, empty when it cannot be decoded, and all problems found.
    """
    try:
        configuration = msgspec.convert(document, Configuration)
    except msgspec.ValidationError as error:
        return Configuration(), [ConfigurationProblem(place="document", problem=str(error))]
    return configuration, check_configuration(configuration)
