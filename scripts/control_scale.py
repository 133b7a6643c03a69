"""Measures the cost of idle daemons: calls to the key-value service, bytes, CPU and memory.

    unshare -rn sh -c 'ip link set lo up; python3 scripts/control_scale.py 4 16 64'

Run it in a network namespace of its own; otherwise the bytes include all loopback traffic of
the machine. The platform's lists are read only once a minute, so that the measured traffic is
that between instances and to the key-value service. Each packet is counted once, headers
included; it counts for two daemons, its sender and its receiver.
"""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "tests" / "process"))

from fleet import Fleet  # noqa: E402
from kit import Kit, wait_until  # noqa: E402
from test_control import revision  # noqa: E402

SETTLE_SECONDS = 15
MEASURED_SECONDS = 20
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
TIMING = {"heartbeat": "1s", "lease": "5s", "drain": "1s", "load_reports": "1s", "target_list": "60s", "usage_window": "60s", "usage_grace": "5s"}


def loopback_bytes():
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split()[1])
    return 0


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def private_bytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Private_Dirty:"):
            return int(line.split()[1]) * 1024
    return 0


def measure(count):
    with Kit() as kit:
        fleet = Fleet(kit, daemons=count, engines=1, services=1, settings={"timing": TIMING})
        fleet.ctl("apply", "-f", fleet.configuration_file)
        newest = revision(fleet.daemons["entry-0"])
        begin = time.monotonic()
        wait_until(lambda: all(revision(daemon) >= newest for daemon in fleet.daemons.values()), "in force everywhere", 60)
        apply_seconds = time.monotonic() - begin
        time.sleep(SETTLE_SECONDS)
        pids = [daemon.pid for daemon in fleet.daemons.values()]
        before = (fleet.kv.stats(), loopback_bytes(), sum(map(cpu_seconds, pids)), time.monotonic())
        time.sleep(MEASURED_SECONDS)
        after = (fleet.kv.stats(), loopback_bytes(), sum(map(cpu_seconds, pids)), time.monotonic())
        seconds = after[3] - before[3]
        calls_per_second = (after[0]["calls"] - before[0]["calls"]) / seconds
        print(f"| {count} | {apply_seconds * 1000:.0f} | {calls_per_second:.2f} | {2 * (after[1] - before[1]) / seconds / count:.0f} | {(after[2] - before[2]) / seconds / count * 100:.2f} | "
              f"{sum(map(resident_bytes, pids)) / count / 1e6:.1f} | {sum(map(private_bytes, pids)) / count / 1e6:.1f} |", flush=True)


def main():
    print("| daemons | first apply in force everywhere, ms | key-value calls a second, all daemons | bytes a second per daemon, in and out | % of a core per daemon | resident MB | of that private MB |")
    print("|---|---|---|---|---|---|---|", flush=True)
    for count in map(int, sys.argv[1:] or ["4", "16", "64"]):
        measure(count)


if __name__ == "__main__":
    main()
