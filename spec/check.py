"""Explores the models exhaustively and proves that each seeded fault is found.

`python -m spec.check` checks the small state space; `--large` a larger one. It prints one line
for each model and each mutant, and its exit code is 0 only when every model holds and every
mutant is caught.
"""

import argparse
import dataclasses
import sys
import time

from minicheck import Protocol, check_safety

from .budget_model import Mutation, make_budget_model
from .claim_model import ClaimMutation, make_claim_model

SMALL_MODEL_TOKENS = 3
LARGE_MODEL_TOKENS = 5
MAX_STATES = 2_000_000
# A violation that was found stands, also when a mutant's states are too many to list.
MUTANT_MAX_STATES = 15_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckResult:
    """Outcome of one exploration.

    Attributes:
        states: Number of different states.
        exhaustive: Whether these are all.
        seconds: Time taken.
        broken: Names of the invariants that do not hold.
        trace_steps: Steps of the shortest trace that breaks one; 0 when all hold.
    """

    name: str
    states: int
    exhaustive: bool
    seconds: float
    violated: list[str]
    trace_steps: int


def explore(name: str, protocol: Protocol, max_states: int) -> CheckResult:
    """Explores the states of a model.

    Args:
        name: Name for the report.
        protocol: The model.
        max_states: Most states to explore.

    Returns:
        What was found; `exhaustive` tells whether every state was explored.
    """
    started = time.monotonic()
    report = check_safety(protocol, max_states=max_states)
    properties = report["properties"]
    broken = [key for key, value in properties.items() if value["holds"] is False]
    traces = [len(properties[key]["counterexample"] or [None]) - 1 for key in broken]
    return CheckResult(
        name=name,
        states=report["reachable_states"],
        exhaustive=report["exhaustive"],
        seconds=time.monotonic() - started,
        violated=broken,
        trace_steps=min(traces, default=0),
    )


def check_models(tokens: int) -> list[CheckResult]:
    """Explores the unchanged models with the given prepaid tokens."""
    return [
        explore("budget_hold", make_budget_model(purchased=tokens, release=False), MAX_STATES),
        explore("budget_release", make_budget_model(purchased=tokens, release=True), MAX_STATES),
        explore("claim", make_claim_model(), MAX_STATES),
    ]


def check_mutants() -> list[CheckResult]:
    """Explores each mutant; every one must break an invariant."""
    results = []
    for mutation in Mutation:
        if mutation is not Mutation.NONE:
            # Kept in doubt, wrongly closed tokens are never drawn again and do no harm.
            model = make_budget_model(
                purchased=SMALL_MODEL_TOKENS, release=True, mutation=mutation
            )
            results.append(explore(f"budget_{mutation.value}", model, MUTANT_MAX_STATES))
    for claim_mutation in ClaimMutation:
        if claim_mutation is not ClaimMutation.NONE:
            model = make_claim_model(mutation=claim_mutation)
            results.append(explore(f"claim_{claim_mutation.value}", model, MUTANT_MAX_STATES))
    return results


def main() -> int:
    """Checks models and mutants and prints a line for each."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--large", action="store_true", help="explore the larger state space")
    arguments = parser.parse_args()
    good = True
    for result in check_models(LARGE_MODEL_TOKENS if arguments.large else SMALL_MODEL_TOKENS):
        holds = result.exhaustive and not result.violated
        good = good and holds
        print(
            f"model name={result.name} states={result.states} seconds={result.seconds:.1f} "
            f"holds={'yes' if holds else 'no'}"
        )
    for result in check_mutants():
        caught = bool(result.violated)
        good = good and caught
        print(
            f"mutant name={result.name} caught={'yes' if caught else 'no'} "
            f"trace_steps={result.trace_steps} broken={','.join(result.violated)}"
        )
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
