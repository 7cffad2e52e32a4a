"""Steps for result codes and settings."""

import pathlib

from behave import then, when
from laburnumpier_core.errors import SettingsError
from laburnumpier_core.result_codes import RESULT_CODE_TABLE
from laburnumpier_standins.memory_fleet import make_settings


@then("docs/RESULT_CODES.md lists every result code with its HTTP status and meaning")
def check_documented_codes(context):
    documented = {}
    for line in pathlib.Path("docs/RESULT_CODES.md").read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if cells[0].isdecimal():
            documented[int(cells[0])] = (cells[1], cells[2], cells[3])
    expected = {
        int(code): (code.name, str(info.http_status), info.meaning)
        for code, info in RESULT_CODE_TABLE.items()
    }
    assert documented == expected, set(documented.items()) ^ set(expected.items())


@when("the settings are loaded")
@when("the settings are loaded with")
def load_settings_with_overrides(context):
    rows = context.table or []
    overrides = {f"{row['section']}.{row['key']}": row["value"] for row in rows}
    context.problems = []
    try:
        make_settings(overrides)
    except SettingsError as error:
        context.problems = error.problems


@then("no problems are reported")
def check_no_problems(context):
    assert not context.problems, context.problems


@then("these problems are reported")
def check_problems(context):
    reported = sorted((problem.section, problem.key) for problem in context.problems)
    expected = sorted((row["section"], row["key"]) for row in context.table)
    assert reported == expected, reported
    assert all(problem.allowed for problem in context.problems)
