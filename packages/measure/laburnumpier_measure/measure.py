"""Plays every scenario with many seeds and compares the design with its baselines.

It prints a line for each scenario, design and deployment, and writes the table of
docs/MEASURES.md. Processes share the work; the same seeds give the same figures.
"""

import argparse
import concurrent.futures
import dataclasses
import logging
import sys

from laburnumpier_standins.virtual_loop import run_in_virtual_time

from .audit import Verdict, audit_run
from .scenario import DEPLOYMENTS, ROUTERS, SCENARIOS, Scenario, ScenarioRun

DESIGNS = {
    "ours": "grants",
    "equal_split": f"equal_split:{ROUTERS}",
    "write_per_request": "write_per_request",
}
MUST_BE_ZERO = (
    "overspent_tokens",
    "double_runs",
    "lost_answers",
    "mixed_answers",
    "false_not_run",
    "unbilled",
    "billed_twice",
)
DEFAULT_SEEDS = 20
DEFAULT_WORKERS = 7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """One run to be played."""

    scenario: Scenario
    deployment: str
    design: str
    seed: int


def play_case(case: Case) -> Verdict:
    """Plays one run on a virtual clock and returns its verdict."""
    logging.disable(logging.CRITICAL)
    run = ScenarioRun(
        scenario=case.scenario,
        deployment=DEPLOYMENTS[case.deployment],
        design=DESIGNS[case.design],
        seed=case.seed,
    )

    async def play() -> Verdict:
        await run.play()
        verdict = audit_run(run)
        await run.fleet.close()
        return verdict

    return run_in_virtual_time(play())


def merge_verdicts(verdicts: list[Verdict]) -> dict[str, float]:
    """Adds up counts and averages rates and times.

    Args:
        verdicts: Verdicts of one scenario with different seeds.

    Returns:
        The figures by name.
    """
    merged: dict[str, float] = {}
    for field in dataclasses.fields(Verdict):
        values = [getattr(verdict, field.name) for verdict in verdicts]
        total = sum(values)
        averaged = field.name.endswith(("_ms", "_per_s"))
        merged[field.name] = round(total / len(values), 1) if averaged else total
    requests = merged["requests"] or 1
    merged["false_refusal_share"] = round(merged["false_refusals"] / requests, 6)
    return merged


def format_line(scenario: str, design: str, deployment: str, seeds: int, merged: dict) -> str:
    """Returns the line of one scenario, design and deployment."""
    pairs = " ".join(f"{key}={value}" for key, value in merged.items())
    start = f"measure scenario={scenario} design={design} deployment={deployment}"
    return f"{start} seeds={seeds} {pairs}"


def main() -> int:
    """Plays the chosen scenarios; the exit code is 1 if our design broke a promise."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)
    parser.add_argument("--scenario", action="append", help="name of a scenario; default all")
    parser.add_argument("--design", action="append", help="name of a design; default all")
    parser.add_argument("--deployment", action="append", help="halib or instituto; default both")
    arguments = parser.parse_args()
    scenarios = [s for s in SCENARIOS if not arguments.scenario or s.name in arguments.scenario]
    designs = arguments.design or list(DESIGNS)
    deployments = arguments.deployment or list(DEPLOYMENTS)
    groups = [(s, d, g) for s in scenarios for d in deployments for g in designs]
    broken = False
    with concurrent.futures.ProcessPoolExecutor(arguments.workers) as pool:
        pending = [
            [
                pool.submit(
                    play_case,
                    Case(scenario=scenario, deployment=deployment, design=design, seed=seed),
                )
                for seed in range(arguments.seeds)
            ]
            for scenario, deployment, design in groups
        ]
        for (scenario, deployment, design), futures in zip(groups, pending, strict=True):
            merged = merge_verdicts([future.result() for future in futures])
            print(
                format_line(scenario.name, design, deployment, arguments.seeds, merged),
                flush=True,
            )
            if design == "ours":
                broken = broken or any(merged[name] for name in MUST_BE_ZERO)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
