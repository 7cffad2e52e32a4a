"""Runs every scenario with many seeds and compares budget allocation by grants with two baselines.

Prints one line per scenario, deployment and design; `laburnumpier_measure.page` makes
docs/MEASURES.md from these lines. Runs are distributed over worker processes, and the same seeds
give the same figures.
"""

import argparse
import concurrent.futures
import dataclasses
import logging
import sys

from laburnumpier_standins.virtual_loop import run_in_virtual_time

from .audit import AuditResult, audit_run
from .scenario import DEPLOYMENTS, ROUTER_COUNT, SCENARIOS, Scenario, ScenarioRun

# Values of the setting `budget.allocation` by the name of the design.
DESIGNS = {
    "ours": "grants",
    "equal_split": f"equal_split:{ROUTER_COUNT}",
    "write_per_request": "write_per_request",
}
# Fields of `AuditResult` that must be 0.
INVARIANT_VIOLATIONS = (
    "overspent_tokens",
    "double_runs",
    "lost_answers",
    "mixed_answers",
    "false_not_run",
    "unbilled",
    "billed_twice",
)
DEFAULT_SEED_COUNT = 20
DEFAULT_WORKER_COUNT = 7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScenarioCase:
    """Parameters of one simulated run."""

    scenario: Scenario
    deployment: str
    design: str
    seed: int


def run_case(case: ScenarioCase) -> AuditResult:
    """Runs one case on a virtual clock and audits it."""
    logging.disable(logging.CRITICAL)
    run = ScenarioRun(
        scenario=case.scenario,
        deployment=DEPLOYMENTS[case.deployment],
        design=DESIGNS[case.design],
        seed=case.seed,
    )

    async def run_and_audit() -> AuditResult:
        await run.execute()
        result = audit_run(run)
        await run.fleet.close()
        return result

    return run_in_virtual_time(run_and_audit())


def merge_results(results: list[AuditResult]) -> dict[str, float]:
    """Sums counts and averages rates and times.

    Args:
        results: Results of the same scenario, deployment and design with different seeds.

    Returns:
        The merged figures by name.
    """
    merged: dict[str, float] = {}
    for field in dataclasses.fields(AuditResult):
        values = [getattr(result, field.name) for result in results]
        total = sum(values)
        is_averaged = field.name.endswith(("_ms", "_per_s"))
        merged[field.name] = round(total / len(values), 1) if is_averaged else total
    requests = merged["requests"] or 1
    merged["false_refusal_share"] = round(merged["false_refusals"] / requests, 6)
    return merged


def format_line(scenario: str, design: str, deployment: str, seeds: int, merged: dict) -> str:
    """Formats the printed line of one scenario, design and deployment."""
    figures = " ".join(f"{key}={value}" for key, value in merged.items())
    prefix = f"measure scenario={scenario} design={design} deployment={deployment}"
    return f"{prefix} seeds={seeds} {figures}"


def main() -> int:
    """Runs the selected scenarios; the exit code is 1 if design `ours` violates an invariant."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEED_COUNT)
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKER_COUNT)
    parser.add_argument(
        "--scenario",
        action="append",
        help="scenario to run, may be given several times; default: all",
    )
    parser.add_argument(
        "--design", action="append", help="design to run, may be given several times; default: all"
    )
    parser.add_argument("--deployment", action="append", help="halib or instituto; default: both")
    arguments = parser.parse_args()
    scenarios = [
        scenario
        for scenario in SCENARIOS
        if not arguments.scenario or scenario.name in arguments.scenario
    ]
    designs = arguments.design or list(DESIGNS)
    deployments = arguments.deployment or list(DEPLOYMENTS)
    combinations = [
        (scenario, deployment, design)
        for scenario in scenarios
        for deployment in deployments
        for design in designs
    ]
    invariant_violated = False
    with concurrent.futures.ProcessPoolExecutor(arguments.workers) as pool:
        futures_per_combination = [
            [
                pool.submit(
                    run_case,
                    ScenarioCase(
                        scenario=scenario, deployment=deployment, design=design, seed=seed
                    ),
                )
                for seed in range(arguments.seeds)
            ]
            for scenario, deployment, design in combinations
        ]
        for (scenario, deployment, design), futures in zip(
            combinations, futures_per_combination, strict=True
        ):
            merged = merge_results([future.result() for future in futures])
            print(
                format_line(scenario.name, design, deployment, arguments.seeds, merged),
                flush=True,
            )
            if design == "ours":
                invariant_violated = invariant_violated or any(
                    merged[name] for name in INVARIANT_VIOLATIONS
                )
    return 1 if invariant_violated else 0


if __name__ == "__main__":
    sys.exit(main())
