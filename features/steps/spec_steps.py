"""Steps that check the models of the budget and claim protocols."""

from behave import then, when

from spec.check import SMALL_MODEL_TOKENS, check_models, check_mutants


def select_result(context, results, name):
    (context.result,) = [result for result in results if result.name == name]


@when("the model {name} is checked")
def check_model(context, name):
    if not hasattr(context.feature, "model_results"):
        context.feature.model_results = check_models(SMALL_MODEL_TOKENS)
    select_result(context, context.feature.model_results, name)


@when("the mutant {name} is checked")
def check_mutant(context, name):
    if not hasattr(context.feature, "mutant_results"):
        context.feature.mutant_results = check_mutants()
    select_result(context, context.feature.mutant_results, name)


@then("all reachable states were explored and every invariant holds")
def check_invariants_hold(context):
    assert context.result.exhaustive
    assert not context.result.violated, context.result.violated


@then("the invariant {name} is violated")
def check_invariant_violated(context, name):
    assert name in context.result.violated, context.result.violated
