#!/usr/bin/env python3
"""Replays seeded traces of both deployments against real daemons and checks the required
outcomes of each. Trace shapes: constant load (calm), doubled load (rain), a flood by one
account, and requests that crash their engine (poison). Exit code 1 if any trace misses them."""

import argparse
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "process"))

ACCOUNTS = 8
# Numbers of engines and plain services in each deployment.
DEPLOYMENTS = {"wales": (8, 3), "caribbean": (10, 3)}
OUTCOMES = {"calm": "outcomes.toml", "rain": "outcomes.toml", "flood": "outcomes-flood.toml", "poison": "outcomes-poison.toml"}
POISON_BLOCK = "000000000000dead"  # the first block of a poison request, as promptFor() writes it


def configuration(fleet_module):
    accounts = "".join(f'[[client_account]]\nname = "account-{i}"\nlabels = {{ tier = "gold" }}\n'
                       "objectives = { availability = 0.999, first_token_ms = 500, full_answer_ms = 5000 }\n\n" for i in range(ACCOUNTS))
    return accounts + fleet_module.CONFIGURATION


def replay(kit, fleet_module, deployment, trace_shape, seconds, rate, speed):
    engines, services = DEPLOYMENTS[deployment]
    with kit.Kit() as running_kit:
        fleet = fleet_module.Fleet(running_kit, engines=engines, services=services, configuration=configuration(fleet_module),
                                   engine_flags={"tokens_per_second": 300, "restart_ms": 1000})
        fleet.set_up()
        if trace_shape == "poison":
            for engine in fleet.engines:
                engine.faults(poison=POISON_BLOCK)
        keys = running_kit.folder / "keys.toml"
        lines = ["[keys]"] + [f'account-{i} = "{fleet.grant(f"account-{i}")[1]}"' for i in range(ACCOUNTS)]
        keys.write_text("\n".join(lines + ["[paths]", 'completions = "/v1/completions"', 'stock = "/stock/enquiry"', ""]))
        trace = running_kit.folder / "trace"
        generated = running_kit.run("lovagectl", "trace", trace_shape, "--deployment", deployment, "--seconds", seconds, "--rate", rate, "--seed", 1)
        trace.write_text(generated.stdout)
        replayed = running_kit.run("lovagectl", "replay", trace, "--entries", ",".join(fleet.callers()), "--keys", keys,
                                   "--outcomes", ROOT / "tests" / "traces" / OUTCOMES[trace_shape], "--speed", speed, seconds=300)
        print(f"== {deployment}, {trace_shape}: {generated.stdout.count(chr(10)) - 1} requests", flush=True)
        print(replayed.stdout, flush=True)
        if replayed.returncode not in (0, 1):
            print(replayed.stderr)
        return replayed.returncode == 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build")
    parser.add_argument("--seconds", default="20")
    parser.add_argument("--rate", default="20")
    parser.add_argument("--speed", default="1")
    parser.add_argument("--only", default="", help="e.g. wales/rain")
    arguments = parser.parse_args()
    os.environ["LOVAGERAIL_BIN"] = str(pathlib.Path(arguments.bin).resolve())
    import kit
    import fleet as fleet_module
    failed = []
    for deployment in DEPLOYMENTS:
        for trace_shape in OUTCOMES:
            name = f"{deployment}/{trace_shape}"
            if arguments.only in name and not replay(kit, fleet_module, deployment, trace_shape, arguments.seconds, arguments.rate, arguments.speed):
                failed.append(name)
    print("replay: ok" if not failed else "replay: outcomes missed: " + ", ".join(failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
