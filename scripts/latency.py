#!/usr/bin/env python3
"""Measures the latency that the daemon adds to a streamed request, compared with the same client
calling the engine stand-in directly (rounds of both alternate in one run), the requests per
second of one daemon, and the memory of an idle daemon."""

import argparse
import os
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "process"))

ROUNDS = 4
ROUND_MS = 3000
RATE = 40  # requests per second while latency is measured


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build")
    os.environ["LOVAGERAIL_BIN"] = str(pathlib.Path(parser.parse_args().bin).resolve())
    import kit
    import fleet as fleet_module
    with kit.Kit() as running_kit:
        fleet = fleet_module.Fleet(running_kit, daemons=1, engines=1, services=1,
                                   engine_flags={"tokens_per_second": 2000, "max_running": 512, "chunk_tokens": 4, "report_lag_ms": 50})
        fleet.set_up()
        time.sleep(2)
        idle = fleet.daemons["entry-0"].status("VmRSS")
        summaries = {"direct": [], "proxied": []}
        for i in range(ROUNDS):
            common = dict(rate_per_second=RATE, duration_ms=ROUND_MS, max_tokens=16, prompt_bytes=400, seed=i + 1)
            direct = running_kit.load(entries=[fleet.engines[0].url], direct=True, **common)
            proxied = running_kit.load(entries=fleet.callers(), keys=[fleet.keys["mawr"]], **common)
            for name, summary in (("direct", direct), ("proxied", proxied)):
                assert summary["outcomes"]["ok"] == summary["requests"], summary
                summaries[name].append(summary)
        print("| path | first token p50 ms | first token p99 ms | whole p50 ms | whole p99 ms |")
        print("|---|--:|--:|--:|--:|")
        rows = {}
        for name, rounds in summaries.items():
            def median(kind, quantile):
                values = sorted(r[kind][quantile] for r in rounds)
                return (values[ROUNDS // 2 - 1] + values[ROUNDS // 2]) / 2
            rows[name] = [median(kind, q) for kind in ("first_token_ms", "latency_ms") for q in ("p50", "p99")]
            print(f"| {name} | " + " | ".join(f"{v:.2f}" for v in rows[name]) + " |")
        print("| added | " + " | ".join(f"{p - d:.2f}" for p, d in zip(rows["proxied"], rows["direct"])) + " |")

        daemon = fleet.daemons["entry-0"]
        for rate in (500, 1000, 2000):
            before = cpu_seconds(daemon.pid)
            begin = time.monotonic()
            summary = running_kit.load(entries=fleet.callers(), keys=[fleet.keys["mawr"]], rate_per_second=rate, duration_ms=3000, path="/stock/x", timeout_ms=10000, seed=rate)
            elapsed = time.monotonic() - begin
            share = (cpu_seconds(daemon.pid) - before) / elapsed
            print(f"plain calls at {rate}/s offered: {summary['outcomes']['ok']} of {summary['requests']} ok, "
                  f"{summary['outcomes']['ok'] / elapsed:.0f}/s over {elapsed:.1f} s, p99 {summary['latency_ms']['p99']:.1f} ms, daemon {share * 100:.0f}% of a core")
        print(f"idle daemon: {idle / 1024:.1f} MB resident, {daemon.status('Threads')} threads; after load {daemon.status('VmRSS') / 1024:.1f} MB")


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
    main()
