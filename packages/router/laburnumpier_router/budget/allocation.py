"""Strategies for allocating the tokens of a budget to routers.

The default sizes grants by measured demand. The other two are simple baselines for comparison,
which can be selected by a setting.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DemandGrants:
    """Routers draw grants sized by their demand and lend tokens to each other."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EqualSplit:
    """Each router draws an equal, fixed share of the purchased total once."""

    routers: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WritePerRequest:
    """Each request draws its own grant and returns the unused tokens."""


Allocation = DemandGrants | EqualSplit | WritePerRequest


def parse_allocation(text: str) -> Allocation:
    """Parses the setting `grants`, `write_per_request` or `equal_split:<routers>`.

    Args:
        text: The value of the setting.

    Raises:
        ValueError: If the value has another form.
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
