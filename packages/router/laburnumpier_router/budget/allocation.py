"""How tokens of a budget are brought to the routers.

The default draws grants by measured demand. The other two are the simple designs that it is
measured against, and stay runnable behind a setting.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DemandGrants:
    """Grants sized by demand, drawn again and lent between peers."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EqualSplit:
    """Each router gets the same fixed part of the purchased total, once."""

    routers: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WritePerRequest:
    """Each request draws its own grant and hands back what it did not use."""


Allocation = DemandGrants | EqualSplit | WritePerRequest


def parse_allocation(text: str) -> Allocation:
    """Reads the setting `grants`, `write_per_request` or `equal_split:<routers>`.

    Args:
        text: The setting.

    Returns:
        The allocation.

    Raises:
        ValueError: If the text has another form.
    """
    name, _, routers = text.partition(":")
    match name:
        case "grants":
            return DemandGrants()
        case "write_per_request":
            return WritePerRequest()
        case "equal_split":
            return EqualSplit(routers=int(routers))
        case _:
            raise ValueError(text)
