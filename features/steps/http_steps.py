"""Steps that send HTTP requests to one router with in-memory ports, on the real clock."""

import asyncio
import json
import pathlib
import sys
import tempfile

import aiohttp
from aiohttp.test_utils import TestServer
from behave import given, then, when
from laburnumpier_core.hashing import hash_key
from laburnumpier_core.result_codes import ResultCode
from laburnumpier_standins.memory_backends import MemoryServer
from laburnumpier_standins.memory_fleet import MemoryFleet

CHAT_PATH = "/v1/chat/completions"
ANSWER_WORDS = 20


def make_valid_body():
    return {
        "model": "m",
        "messages": [{"role": "user", "content": "one"}],
        "max_tokens": ANSWER_WORDS,
    }


def run(context, coroutine):
    return context.real.run(coroutine)


@given("a router that serves HTTP")
def start_router(context):
    async def start():
        fleet = MemoryFleet(seed=3)
        context.fleet = fleet
        await fleet.start_router("vm-1")
        url = fleet.add_server(
            MemoryServer(name="s0", token_seconds=0.0001, prefill_seconds=0.001)
        )
        orders = fleet.add_server(MemoryServer(name="o0", models=[], prefill_seconds=0.001))
        await fleet.configure(
            "vm-1",
            {
                "servers": {"s0": {"url": url}, "o0": {"url": orders}},
                "models": {"m": {"servers": ["s0"], "max_output_tokens": 512}},
                "services": {"orders": {"servers": ["o0"]}, "nothing": {"servers": []}},
                "workspaces": {
                    name: {
                        "budget_tokens": tokens,
                        "key_hashes": [hash_key(f"key-{name}")],
                        "models": ["m"],
                        "services": ["orders"],
                    }
                    for name, tokens in (("w", 10000), ("other", 10000), ("poor", 3))
                },
            },
        )
        application = fleet.routers["vm-1"].application
        for name in ("s0", "o0"):
            await application.backend_directory.probe_once(name)
        context.callers = TestServer(application.caller_frontend.make_app())
        context.operators = TestServer(application.operator_frontend.make_app())
        await context.callers.start_server()
        await context.operators.start_server()
        context.session = aiohttp.ClientSession()

    async def stop():
        await context.session.close()
        await context.callers.close()
        await context.operators.close()
        await context.fleet.close()

    run(context, start())
    context.cleanups.append((context.real, stop))


def send(context, server, method, path, *, data=None, headers=None):
    async def call():
        async with context.session.request(
            method, server.make_url(path), data=data, headers=headers
        ) as response:
            context.status = response.status
            context.closes_connection = response.headers.get("Connection") == "close"
            context.headers = response.headers
            context.reply_text = await response.text()

    run(context, call())
    try:
        context.answer = json.loads(context.reply_text)
    except ValueError:
        context.answer = {}


def send_chat(context, body, *, key="key-w", headers=None, path=CHAT_PATH):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    authorization = {"Authorization": f"Bearer {key}"} if key else {}
    send(
        context,
        context.callers,
        "POST",
        path,
        data=data,
        headers={**authorization, **(headers or {})},
    )


BODY_FAULTS = {
    "broken JSON": b'{"model": ',
    "a NaN in the JSON": b'{"model": "m", "temperature": NaN}',
    "deeply nested JSON": b"[" * 100_000,
    "a list as body": b"[]",
    "an empty body": b"",
    "an oversized body": b" " * 2_000_000,
}
FIELD_FAULTS = {
    "no model": {"model": None},
    "an unknown model": {"model": "none"},
    "no messages": {"messages": []},
    "a message without a role": {"messages": [{"content": "x"}]},
    "a number as content": {"messages": [{"role": "user", "content": 5}]},
    "negative max tokens": {"max_tokens": -5},
    "zero max tokens": {"max_tokens": 0},
    "absurd max tokens": {"max_tokens": 10**12},
    "max tokens as text": {"max_tokens": "20"},
    "max tokens as true": {"max_tokens": True},
    "stream as text": {"stream": "yes"},
    "several choices": {"n": 3},
}
HEADER_FAULTS = {
    "a basic key": {"Authorization": "Basic abc"},
    "a deadline as text": {"X-Deadline-Seconds": "soon"},
    "a negative deadline": {"X-Deadline-Seconds": "-1"},
    "an infinite deadline": {"X-Deadline-Seconds": "inf"},
    "an empty idempotency key": {"Idempotency-Key": ""},
    "a very long idempotency key": {"Idempotency-Key": "k" * 300},
    "a slash in the key": {"Idempotency-Key": "a/b"},
}
KEY_FAULTS = {"no key": "", "a wrong key": "key-x", "too small a budget": "key-poor"}


@when("a chat request is sent with {fault}")
def send_invalid_chat(context, fault):
    if fault.startswith("key "):
        _, key, _, _, prompt = fault.split()
        body = {**make_valid_body(), "messages": [{"role": "user", "content": prompt}]}
        send_chat(context, body, headers={"Idempotency-Key": key})
    elif fault in BODY_FAULTS:
        send_chat(context, BODY_FAULTS[fault])
    elif fault in FIELD_FAULTS:
        send_chat(context, {**make_valid_body(), **FIELD_FAULTS[fault]})
    elif fault in HEADER_FAULTS:
        send_chat(context, make_valid_body(), headers=HEADER_FAULTS[fault])
    elif fault in KEY_FAULTS:
        send_chat(context, make_valid_body(), key=KEY_FAULTS[fault])
    else:
        assert fault == "an unknown path", fault
        send_chat(context, make_valid_body(), path="/v1/nothing")


@when("the other workspace sends a chat request with key {key} and prompt {prompt}")
def send_from_other_workspace(context, key, prompt):
    body = {**make_valid_body(), "messages": [{"role": "user", "content": prompt}]}
    send_chat(context, body, key="key-other", headers={"Idempotency-Key": key})


@when("the service {name} is called")
def call_service(context, name):
    headers = {"Authorization": "Bearer key-w"}
    send(context, context.callers, "POST", f"/services/{name}/x", data=b"", headers=headers)


@when("a correct chat request is sent for a whole answer")
def send_whole(context):
    context.streamed = False
    send_chat(context, make_valid_body())


@when("a correct chat request is sent for a stream")
def send_streamed(context):
    context.streamed = True
    body = {**make_valid_body(), "stream": True, "stream_options": {"include_usage": True}}
    send_chat(context, body)


@when("the router stops accepting requests")
def stop_accepting_requests(context):
    context.fleet.routers["vm-1"].application.caller_frontend.stop_accepting_requests()


@then("the response has status {status:d} and code {code}, and says it did not run")
def check_refusal(context, status, code):
    assert context.status == status, (context.status, context.reply_text[:300])
    assert context.answer["result_code"] == int(ResultCode[code]), context.answer
    assert context.answer["ran"] == "no"
    assert context.answer["request_id"]


@then("the response closes its connection")
def check_connection_closes(context):
    assert context.closes_connection


@then("the response has status {status:d}")
def check_status(context, status):
    assert context.status == status, (context.status, context.reply_text[:300])


@then("nothing was run, billed or left reserved")
def check_no_effect(context):
    for server in context.fleet.backends.servers.values():
        assert not server.started, server.started
        assert not server.calls, server.calls
    keys = context.fleet.store.state.entries
    assert not [key for key in keys if key.startswith("slot/")]
    budget = context.fleet.routers["vm-1"].application.budget
    assert all(state.pool.reserved == 0 for state in budget.states.values())


@then("a correct chat request is served")
def check_router_serves(context):
    send_chat(context, make_valid_body())
    assert context.status == 200, context.reply_text


@then("the complete answer arrives with its finish reason and usage")
def check_complete_answer(context):
    assert context.status == 200, context.reply_text
    if context.streamed:
        lines = [line for line in context.reply_text.splitlines() if line.startswith("data:")]
        assert lines[-1] == "data: [DONE]"
        chunks = [json.loads(line[5:]) for line in lines[:-1]]
        assert chunks[-2]["choices"][0]["finish_reason"] == "stop"
        assert chunks[-1]["usage"]["completion_tokens"] == ANSWER_WORDS
        return
    assert context.answer["choices"][0]["finish_reason"] == "stop"
    assert context.answer["usage"]["completion_tokens"] == ANSWER_WORDS
    assert context.answer["object"] == "chat.completion"


@then("the router is not ready, but healthy")
def check_health(context):
    send(context, context.callers, "GET", "/readyz")
    assert context.status == 503
    send(context, context.callers, "GET", "/healthz")
    assert context.status == 200


TOKEN_HEADERS = {
    "no token": {},
    "a wrong token": {"Authorization": "Bearer nothing"},
    "a caller key": {"Authorization": "Bearer key-w"},
}
OPERATOR_HEADERS = {"Authorization": "Bearer operator"}


@when("an operator calls {path} with {token}")
def call_operator(context, path, token):
    send(context, context.operators, "GET", path, headers=TOKEN_HEADERS[token])


PATCH_FAULTS = {
    "an outdated number": ("0", {}),
    "no number": ("", {}),
    "broken JSON": ("1", None),
    "a negative budget": ("1", {"workspaces": {"w": {"budget_tokens": -1}}}),
    "an unknown field": ("1", {"workspaces": {"w": {"colour": "red"}}}),
    "an unknown server": ("1", {"models": {"m": {"servers": ["s9"]}}}),
    "a key of two workspaces": (
        "1",
        {"workspaces": {"other": {"key_hashes": [hash_key("key-w")]}}},
    ),
    "a plain key": ("1", {"workspaces": {"w": {"key_hashes": ["key-w"]}}}),
    "a list as document": ("1", []),
}


def send_patch(context, number, patch, patch_id=""):
    data = b"{" if patch is None else json.dumps(patch).encode()
    headers = {**OPERATOR_HEADERS, "If-Match": f'"{number}"', "X-Patch-Id": patch_id}
    send(context, context.operators, "PATCH", "/configuration", data=data, headers=headers)


@when("an operator sends a patch with {fault}")
def send_invalid_patch(context, fault):
    number, patch = PATCH_FAULTS[fault]
    send_patch(context, number, patch)


@then("the configuration is unchanged")
def check_unchanged(context):
    send(context, context.operators, "GET", "/configuration", headers=OPERATOR_HEADERS)
    assert context.answer["number"] == 1
    assert context.answer["document"]["workspaces"]["w"]["budget_tokens"] == 10000


@when("an operator sends the same patch twice with one id")
def send_patch_twice(context):
    for _ in range(2):
        send_patch(context, 1, {"workspaces": {"w": {"priority": 3}}}, patch_id="p-1")
        assert context.status == 200, context.reply_text


@then("the number has risen by 1")
def check_number_incremented(context):
    assert context.answer["number"] == 2, context.answer


@then("the operators' reports show its bill, its budget and its request")
def check_reports(context):
    request_id = context.headers["X-Request-Id"]
    send(context, context.operators, "GET", "/bills/w", headers=OPERATOR_HEADERS)
    (bill,) = context.answer["bills"]
    assert bill["request_id"] == request_id
    send(context, context.operators, "GET", "/budgets/w", headers=OPERATOR_HEADERS)
    assert context.answer["settled"] == bill["tokens"]
    send(context, context.operators, "GET", f"/requests/w/{request_id}", headers=OPERATOR_HEADERS)
    assert context.answer["bill"]["tokens"] == bill["tokens"]
    assert context.answer["here"]["finished"]


@then("the state dump holds neither keys nor tokens")
def check_state_dump(context):
    send(context, context.operators, "GET", "/state", headers=OPERATOR_HEADERS)
    assert context.status == 200
    for secret in ("key-w", "Bearer", hash_key("key-w"), '"operator"'):
        assert secret not in context.reply_text, secret


@when("the command line is run with {arguments}")
def run_command(context, arguments):
    with tempfile.TemporaryDirectory() as folder:
        files = {"PATCH": "{}", "BROKEN": "{", "WRONG": "nothing", "TOKEN": "operator"}
        for name, text in files.items():
            (pathlib.Path(folder) / name).write_text(text)
        words = [str(pathlib.Path(folder) / w) if w in files else w for w in arguments.split()]
        words = [w.replace("=WRONG", f"={folder}/WRONG") for w in words]
        url = str(context.operators.make_url("/"))
        defaults = [f"--router={url}", f"--token_file={folder}/TOKEN"]

        async def execute():
            process = await asyncio.create_subprocess_exec(
                str(pathlib.Path(sys.executable).parent / "laburnumpier"),
                *defaults,
                *words,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            output, _ = await process.communicate()
            return process.returncode, output.decode()

        context.exit_code, context.output = run(context, execute())


@then("it exits with {exit_code:d}")
def check_exit(context, exit_code):
    assert context.exit_code == exit_code, (context.exit_code, context.output)
    assert context.output.strip()
