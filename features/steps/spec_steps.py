"""Steps that explore the specification's models."""

from behave import then, when

from spec.check import SMALL_MODEL_TOKENS, check_models, check_mutants


def find(context, results, name):
    (context.result,) = [result for result in results if result.name == name]


@when("the model {name} is explored")
def explore_model(context, name):
    find(context, check_models(SMALL_MODEL_TOKENS), name)


@when("the mutant {name} is explored")
def explore_mutant(context, name):
    if not hasattr(context.feature, "mutants"):
        context.feature.mutants = check_mutants()
    find(context, context.feature.mutants, name)


@then("all its states were explored and every invariant holds")
def check_holds(context):
    assert context.result.exhaustive
    assert not context.result.violated, context.result.violated


@then("the invariant {name} is found broken")
def check_broken(context, name):
    assert name in context.result.violated, context.result.violated
