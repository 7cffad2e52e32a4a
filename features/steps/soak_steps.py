"""Steps for the fault soak of router processes."""

import dataclasses
import json
import subprocess
import sys

from behave import then, when
from laburnumpier_measure.local_fleet import choose_listen_ports, read_outgoing_ports
from laburnumpier_platform_standin.soak import run_soak
from laburnumpier_platform_standin.soak_record import NO_MIXES

CHOICE_OF_PORTS = """
import json, sys
from laburnumpier_measure.local_fleet import choose_listen_ports
ports = [port for _ in range(int(sys.argv[1])) for port in choose_listen_ports(4)]
print(json.dumps(ports), flush=True)
sys.stdin.read()
"""
"""Prints ports and keeps them until its input ends."""


@when("a soak of {routers:d} routers with seed {seed:d} and {mixes} runs for {seconds:d} seconds")
def run_soak_with_seed(context, routers, seed, mixes, seconds):
    names = () if mixes == "no mixes" else mixes.split(", ")
    chosen = dataclasses.replace(NO_MIXES, **dict.fromkeys(names, True))
    context.traffic_record, context.fault_counts, context.directory = run_soak(
        seed=seed, seconds=seconds, routers=routers, mixes=chosen
    )


@then("callers were served and no guarantee was violated")
def check_guarantees(context):
    assert context.traffic_record.outcomes[200], context.traffic_record.outcomes
    assert context.fault_counts, "no fault was injected"
    assert not context.traffic_record.violations, (
        context.traffic_record.violations,
        context.directory,
    )


@when("the ports of {routers:d} routers are chosen")
def choose_ports(context, routers):
    context.ports = [port for _ in range(routers) for port in choose_listen_ports(4)]


@when("{processes:d} processes choose the ports of {routers:d} routers each")
def choose_ports_in_processes(context, processes, routers):
    command = [sys.executable, "-c", CHOICE_OF_PORTS, str(routers)]
    chosen = [
        subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        for _ in range(processes)
    ]
    context.ports = [port for process in chosen for port in json.loads(process.stdout.readline())]
    for process in chosen:
        process.communicate()


@then("they are all different and outside the range of outgoing connections")
def check_ports(context):
    outgoing_ports = read_outgoing_ports()
    assert len(set(context.ports)) == len(context.ports), context.ports
    taken = [port for port in context.ports if port in outgoing_ports]
    assert not taken, (taken, outgoing_ports)
