#!/usr/bin/env python3
"""Measures the memory, CPU time and traffic of real daemons: idle in fleets of growing size,
with growing lists of targets, with growing numbers of followed engines, and under load.

Prints Markdown tables for docs/CAPACITY.md. Standard library and `ss` only. The
daemons run with the default timings of a deployment, not with those of tests.

Memory is RssAnon (private) and VmRSS; CPU is the CPU time of the process divided
by elapsed time; KB/s is payload sent and received on the daemon's TCP connections, from the
kernel's counters. Connections that open and close between two samples are not counted.
"""

import argparse
import contextlib
import io
import json
import os
import pathlib
import re
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tests" / "process"))

SETTLE_SECONDS = 8
MEASURE_SECONDS = 10
SAMPLE_INTERVAL_SECONDS = 0.5
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
HALF_OF_RAM_KB = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 2048
DEFAULT_TIMING = {"heartbeat": "1s", "lease": "5s", "drain": "5s", "load_reports": "500ms", "target_list": "1s",
                  "usage_window": "60s", "usage_grace": "5s"}
SETTINGS = {"timing": DEFAULT_TIMING, "limits": {"target_silence": "10s"}, "log": {"level": "warning"}}


def cpu_seconds(pid):
    """CPU seconds by thread name."""
    times = {}
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            text = (task / "stat").read_text()
        except OSError:
            continue
        name = text[text.index("(") + 1:text.rindex(")")]
        fields = text[text.rindex(")") + 2:].split()
        times[name] = times.get(name, 0) + (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    return times


class TcpBytes:
    """Payload bytes on the TCP connections of each process, summed over samples."""

    def __init__(self, pids):
        self.pids = set(pids)
        self.last = {}
        self.total = dict.fromkeys(pids, 0)
        self.connections = dict.fromkeys(pids, 0)

    def sample(self, first=False):
        lines = subprocess.run(["ss", "-tinpHO", "state", "established"], capture_output=True, text=True, check=True).stdout.splitlines()
        current = {}
        self.connections = dict.fromkeys(self.pids, 0)
        for line in lines:
            owner = re.search(r"pid=(\d+)", line)
            if not owner or int(owner.group(1)) not in self.pids:
                continue
            pid = int(owner.group(1))
            endpoints = line.split()[2:4]
            transferred = sum(int(n) for n in re.findall(r"bytes_(?:sent|received):(\d+)", line))
            current[(pid, *endpoints)] = transferred
            self.connections[pid] += 1
        if not first:
            for key, transferred in current.items():
                self.total[key[0]] += transferred - self.last.get(key, 0)
        self.last = current


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def measure_fleet(fleet, seconds=MEASURE_SECONDS):
    """Means over the daemons of a fleet, and calls per second at the stand-ins."""
    daemons = list(fleet.daemons.values())
    traffic = TcpBytes([d.pid for d in daemons])
    traffic.sample(first=True)
    kv_before, platform_before = fleet.kv.stats(), fleet.platform.stats()
    cpu_before = {d.pid: cpu_seconds(d.pid) for d in daemons}
    begin = time.monotonic()
    while time.monotonic() - begin < seconds:
        time.sleep(SAMPLE_INTERVAL_SECONDS)
        traffic.sample()
    passed = time.monotonic() - begin
    kv, platform = fleet.kv.stats(), fleet.platform.stats()
    cpu_after = {d.pid: cpu_seconds(d.pid) for d in daemons}
    threads = {}
    for pid, times in cpu_after.items():
        for name, spent in times.items():
            threads[name] = threads.get(name, 0) + (spent - cpu_before[pid].get(name, 0)) / passed / len(daemons) * 100
    return {
        "daemons": len(daemons),
        "rss": mean(d.status("VmRSS") for d in daemons) / 1024,
        "private": mean(d.status("RssAnon") for d in daemons) / 1024,
        "most_private": max(d.status("RssAnon") for d in daemons) / 1024,
        "threads": daemons[0].status("Threads"),
        "cpu": sum(threads.values()),
        "by_thread": sorted(threads.items(), key=lambda item: -item[1]),
        "kbytes": mean(traffic.total.values()) / passed / 1024,
        "connections": mean(traffic.connections.values()),
        "kv_reads": (kv.get("reads", 0) - kv_before.get("reads", 0)) / passed,
        "kv_writes": (kv.get("writes", 0) - kv_before.get("writes", 0)) / passed,
        "kv_watches": kv.get("watches", 0),
        "platform": (platform.get("calls", 0) - platform_before.get("calls", 0)) / passed,
        "load": os.getloadavg()[0],
    }


TABLE_HEADER = (
    "| {} | RSS MB | private MB | most | threads | CPU % | KB/s | connections | KV reads/s | KV writes/s | KV watches | platform calls/s "
    "| machine load | busiest threads, % |\n|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|---|")


def print_row(size, measured):
    busiest = ", ".join(f"{name} {share:.2f}" for name, share in measured["by_thread"][:4])
    print(f"| {size} | {measured['rss']:.1f} | {measured['private']:.1f} | {measured['most_private']:.1f} | {measured['threads']} | {measured['cpu']:.2f} "
          f"| {measured['kbytes']:.1f} | {measured['connections']:.0f} | {measured['kv_reads']:.2f} | {measured['kv_writes']:.2f} | {measured['kv_watches']} "
          f"| {measured['platform']:.1f} | {measured['load']:.1f} | {busiest} |", flush=True)


@contextlib.contextmanager
def kit_with_tolerant_stop():
    """A Kit that prints failed checks at shutdown in one line and does not abort the measurement."""
    kit = Kit()
    try:
        yield kit
    except BaseException:
        kit.close(failed=True)
        raise
    logs = io.StringIO()
    try:
        with contextlib.redirect_stdout(logs):
            kit.close()
    except AssertionError as problem:
        fatal = sorted(set(line for line in logs.getvalue().splitlines() if line.startswith("Fatal")))
        print(f"check failed at shutdown: {str(problem)[:200]}; {'; '.join(fatal)}", file=sys.stderr, flush=True)


def measure_idle_fleets(sizes):
    print("\n## Idle daemons, 4 engines\n\n" + TABLE_HEADER.format("daemons"), flush=True)
    for size in sizes:
        with kit_with_tolerant_stop() as kit:
            fleet = Fleet(kit, daemons=size, settings=SETTINGS)
            fleet.apply()
            time.sleep(SETTLE_SECONDS)
            measured = measure_fleet(fleet)
            print_row(size, measured)
            if measured["rss"] * 1024 * size > HALF_OF_RAM_KB:
                print("stopped: the daemons use half of the memory", flush=True)
                return


def measure_listed_targets(sizes):
    print("\n## 4 idle daemons, rows in the platform's list (not followed)\n\n" + TABLE_HEADER.format("rows"), flush=True)
    for size in sizes:
        with kit_with_tolerant_stop() as kit:
            fleet = Fleet(kit, settings=SETTINGS)
            fleet.apply()
            slots = [{"id": f"listed-{i}", "address": f"10.1.{i // 250}.{i % 250 + 1}:9000", "pool": "trade-app", "kind": "firm",
                      "failure_domain": DOMAINS[i % 3], "started": True, "price_micro_per_hour": 2_000_000} for i in range(size)]
            answer = kit_call("POST", fleet.platform.control + "/setup", {"slots": slots})
            assert answer.status == 200, answer
            time.sleep(SETTLE_SECONDS)
            print_row(size, measure_fleet(fleet))


def measure_followed_engines(sizes):
    print("\n## 4 idle daemons, engines that each follows\n\n" + TABLE_HEADER.format("engines"), flush=True)
    for size in sizes:
        with kit_with_tolerant_stop() as kit:
            fleet = Fleet(kit, engines=size, settings=SETTINGS)
            fleet.apply()
            time.sleep(SETTLE_SECONDS)
            print_row(size, measure_fleet(fleet))


def measure_under_load(rates, tokens):
    print("\n## One daemon under load, 8 engines, streamed\n\n"
          "| requests/s | tokens a request | tokens a chunk | served/s | tokens/s | ok | CPU % | private MB | KB/s | machine load | busiest threads, % |\n"
          "|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|---|", flush=True)
    for length in tokens:
        for rate in rates:
            with kit_with_tolerant_stop() as kit:
                fleet = Fleet(kit, daemons=1, engines=8, settings=SETTINGS, engine_flags={
                    "tokens_per_second": 800, "max_running": 64, "batch_slowdown": 0, "chunk_tokens": 4, "shortest": length, "longest": length})
                fleet.set_up()
                milliseconds = int((MEASURE_SECONDS + 4) * 1000)
                client = kit.start_client("load", entries=fleet.callers(), keys=[fleet.keys["mawr"]], rate_per_second=rate, duration_ms=milliseconds)
                time.sleep(2)
                measured = measure_fleet(fleet)
                client.wait(60)
                summary = json.loads(client.output().strip().splitlines()[-1])
                served = summary["outcomes"].get("ok", 0)
                busiest = ", ".join(f"{name} {share:.2f}" for name, share in measured["by_thread"][:4])
                print(f"| {rate} | {length} | 4 | {served / milliseconds * 1000:.1f} | {summary['tokens'] / milliseconds * 1000:.0f} "
                      f"| {served} of {summary['requests']} | {measured['cpu']:.2f} | {measured['private']:.1f} | {measured['kbytes']:.1f} | {measured['load']:.1f} | {busiest} |", flush=True)


def parse_int_list(text):
    return [int(part) for part in text.split(",") if part]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bin", default="build")
    parser.add_argument("--daemons", type=parse_int_list, default=[4, 16, 64, 96], help="sizes of idle fleets")
    parser.add_argument("--rows", type=parse_int_list, default=[8, 800, 8000], help="targets in the platform's list")
    parser.add_argument("--engines", type=parse_int_list, default=[4, 16, 64], help="engines that each daemon follows")
    parser.add_argument("--rates", type=parse_int_list, default=[5, 20], help="requests a second at one daemon")
    parser.add_argument("--tokens", type=parse_int_list, default=[16, 240], help="tokens a request, at most 256: what the load client asks for")
    arguments = parser.parse_args()
    os.environ["LOVAGERAIL_BIN"] = str(pathlib.Path(arguments.bin).resolve())
    # The kit reads LOVAGERAIL_BIN when it is imported.
    global Kit, Fleet, DOMAINS, kit_call
    from kit import Kit, call as kit_call
    from fleet import DOMAINS, Fleet
    print(f"{os.cpu_count()} processors, {HALF_OF_RAM_KB // 512 // 1024} GB, load {os.getloadavg()[0]:.1f} at the start", flush=True)
    measure_idle_fleets(arguments.daemons)
    measure_listed_targets(arguments.rows)
    measure_followed_engines(arguments.engines)
    measure_under_load(arguments.rates, arguments.tokens)


if __name__ == "__main__":
    main()
