"""The loads that the placements are compared under, in the deterministic model of engines."""

import dataclasses
import random

from engine_model import ModelEngine, ModelPlainServer, ModelRequest, ModelWorld
from laburnumpier_router.ports.dialect import PromptPart

SECONDS = 14.0
SMALL_MEMORY = 200_000
FAST = {"slots": 32, "memory": 579_242, "tokens_per_ms": 110.0}
SLOW = {"slots": 32, "memory": 317_000, "tokens_per_ms": 41.4}
LONG = {"shared": 6300, "own": 2890, "target": 0.635, "events": 60, "urgency": 6}
MIDDLE = {"shared": 568, "own": 1800, "target": 0.419, "events": 60, "urgency": 3}
SHORT = {"shared": 172, "own": 543, "target": 0.315, "events": 60, "urgency": 0}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Engines, requests and disturbances of one load."""

    engines: tuple = (FAST,) * 6
    mix: tuple = ((LONG, 1.0, 1),)
    per_second: float = 60.0
    report_age_seconds: float = 0.0
    routers: int = 1
    shares_reports: bool = False
    slows_at_seconds: float | None = None
    plain_work_ms: float = 0.0


MIX = ((LONG, 0.25, 12), (MIDDLE, 0.25, 8), (SHORT, 0.5, 8))
LOADS = {
    "one hot prompt": Load(per_second=75.0),
    "many long prompts beside short ones": Load(mix=MIX, per_second=130.0),
    "long prompts beyond the memory": Load(
        engines=({**FAST, "memory": SMALL_MEMORY},) * 6,
        mix=((LONG, 0.5, 60), (SHORT, 0.5, 4)),
        per_second=60.0,
    ),
    "engines of unequal speed": Load(engines=(FAST, SLOW) * 3, mix=MIX, per_second=90.0),
    "a stale report": Load(mix=MIX, per_second=130.0, report_age_seconds=0.4),
    "a server that slows down fourfold": Load(mix=MIX, per_second=90.0, slows_at_seconds=4.0),
    "two routers with the same reports": Load(
        mix=MIX, per_second=130.0, routers=2, shares_reports=True, report_age_seconds=0.2
    ),
    "a plain service with a slow server": Load(
        engines=({"slots": 6},) * 5 + ({"slots": 6, "slow_factor": 4.0},),
        mix=(),
        plain_work_ms=60.0,
        per_second=330.0,
    ),
}


def make_requests(load, seed):
    source = random.Random(seed)
    requests, at_seconds = [], 0.0
    while (at_seconds := at_seconds + source.expovariate(load.per_second)) < SECONDS:
        if load.plain_work_ms:
            work = load.plain_work_ms * source.uniform(0.5, 1.5)
            requests.append(
                ModelRequest(
                    at_seconds=at_seconds, parts=(), events=1, target_seconds=0.15, work_ms=work
                )
            )
            continue
        kind, _, prefixes = source.choices(load.mix, [share for _, share, _ in load.mix])[0]
        shared_id = f"{kind['shared']}-{source.randrange(prefixes)}"
        parts = (
            PromptPart(part_id=shared_id, tokens=kind["shared"]),
            PromptPart(part_id=f"own-{len(requests)}", tokens=kind["own"]),
        )
        requests.append(
            ModelRequest(
                at_seconds=at_seconds,
                parts=parts,
                events=kind["events"],
                target_seconds=kind["target"],
                urgency=kind["urgency"],
            )
        )
    return requests


def play_load(load, placement, seed):
    world = ModelWorld()
    world.shares_reports = load.shares_reports
    for n, properties in enumerate(load.engines):
        make = ModelPlainServer if load.plain_work_ms else ModelEngine
        name = f"i-{n}"
        world.engines[name] = make(
            world, name=name, report_age_seconds=load.report_age_seconds, **properties
        )
    cache_tokens = min(properties.get("memory", 0) for properties in load.engines)
    world.add_routers(load.routers, placement=placement, cache_tokens=cache_tokens, seed=seed)
    if load.slows_at_seconds is not None:
        engine = world.engines["i-0"]
        world.at(load.slows_at_seconds, lambda: setattr(engine, "slow_factor", 4.0))
    world.play(make_requests(load, seed))
    return world
