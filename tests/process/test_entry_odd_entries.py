"""Odd entries of another writer in the store: none is used, none spoils those beside it, and none ends an instance."""

import json
import re
import unittest

from entry_world import EntryCase, config
from kit import wait_until

DEPTH = 5000
FOLLOWED_WITHIN_S = 3
NUMBERS = (b"99999999999999999999999999", b"-1", b"0.5", b"1e300", b"-1e300", b"9223372036854775808", b"18446744073709551615", b"4294967296", b"2147483648")
UNREADABLE_NUMBERS = (b"1e400", b"-1e400")


def odd_targets():
    """Values and keys of entries among the targets that name none to use; a plain service's are used without any label."""
    def entry(address, service=b'"shop"', more=b""):
        return b'{"service":' + service + b',"address":' + address + b',"zone":"north","version":"v1","slots":8,"state":"ready","born":1' + more + b"}"

    sound = entry(b'"127.0.0.1:9"')
    addresses = (b"", b"127.0.0.1", b"127.0.0.1:", b"127.0.0.1:0", b"127.0.0.1:65536", b"127.0.0.1:99999999999", b"127.0.0.1:-1", b"127.0.0.1:9x", b"127.0.0.1:9/x", b"no.ip:9", b"::1:9", b"[::1:9",
                 b"127.0.0.1:9\\r\\nx: y", b" 127.0.0.1:9", b"127.0.0.1 :9", b"x@127.0.0.1:9", b"256.0.0.1:9", b"127.0.0.1:09999999", b"\xff:9")
    values = {f"address-{i}": entry(b'"' + address + b'"') for i, address in enumerate(addresses)}
    values |= {"deep": b"[" * DEPTH + b"]" * DEPTH, "deep-object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH, "deep-field": entry(b'"127.0.0.1:9"', more=b',"models":' + b"[" * DEPTH + b"]" * DEPTH),
               "twice": entry(b'"127.0.0.1:9"', more=b',"address":"127.0.0.1:10"'), "number": b"9" * 400, "open": sound[:-1], "trailing": sound + b"}", "list": b"[]", "empty": b"", "null": b"null",
               "bytes": b"\xff\xfe\x00\x01", "big": b"x" * 1_000_000, "port-number": entry(b"9"), "no-service": entry(b'"127.0.0.1:9"', b'""'), "service-list": entry(b'"127.0.0.1:9"', b"[]")}
    values |= {f"number-{name}-{i}": entry(b'"127.0.0.1:9"', more=b',"%s":%s' % (name.encode(), number))
               for name, refused in (("coldRemainingMs", (b"-1", b"1e400", b"-1e400", b"1e300")),) for i, number in enumerate(refused)}
    values |= {"": sound, "with space": sound, "line\r\nx: y": sound, "long-" + "x" * 187: b"", "n\u00f6n-ascii": sound, "lone-\ud800-half": sound, "zero\0": sound}
    return {"servers/" + name: value for name, value in values.items()}


def odd_others():
    """Odd values of each other key that an instance reads."""
    deep = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
    values = {"op/version/m": deep, "op/version/": b"[]", "op/version/n": b'{"model":"n","version":1e400}', "op/evacuate/": b"", "op/evacuate/a b\r\nc": deep, "op/retire/\r\n": deep, "op/odd": deep}
    for i, value in enumerate((deep, b"[]", b"7", b"\xff", b'{"instance":7,"incarnation":-1}', b'{"instance":"odd","incarnation":1e400,"address":7}',
                               b'{"instance":"odd","incarnation":1,"address":"127.0.0.1:99999999999"}', b'{"instance":"odd\\r\\nx: y","incarnation":1,"address":"no address\\r\\n"}')):
        for prefix in ("/lovagerail/duties/", "/lovagerail/duties/node/", "/lovagerail/duties/unable/", "batch/head/", "batch/page/odd/", "batch/body/", "batch/texts/", "/lovagerail/usage/counters/"):
            values[f"{prefix}odd-{i}"] = value
    values |= {"/lovagerail/duties/node/": b'{"instance":"","incarnation":1,"address":""}', "batch/head/": b"{}", "batch/head/\ud800": b"{}"}
    values |= {f"batch/head/number-{i}": b'{"owner":"entry-9","life":%s,"host":"shop.example","path":"/steps/x","account":"acme","submitted":%s,"items":%s}' % (number, number, number)
               for i, number in enumerate(NUMBERS + UNREADABLE_NUMBERS)}
    return values


def odd_configs(first_version, numbers=NUMBERS):
    """Configurations whose parts are odd: later versions, of which the sound parts hold."""
    for i, number in enumerate(numbers):
        text = config(first_version + i)
        text["routes"][0]["odd"] = text["services"][0]["coldPerS"] = "NUMBER"
        text["routes"].append({"name": "odd", "host": "odd.example", "prefix": "/odd/", "routeType": "safe", "service": "shop", "timeoutMs": "NUMBER", "targetLatencyMs": "NUMBER", "priority": "NUMBER",
                               "maxAttempts": "NUMBER", "resultDeadlineMs": "NUMBER", "itemTtlS": "NUMBER", "trafficSplit": [{"service": "shop", "weight": "NUMBER"}]})
        text["services"].append({"name": "odd", "coldPerS": "NUMBER", "engine": {"slots": "NUMBER", "stride": "NUMBER", "models": [7, {}]},
                                 "autoscale": {"min": "NUMBER", "max": "NUMBER", "bootTimeS": "NUMBER", "spotPrice": "NUMBER", "zonePrices": {"north": "NUMBER"}}})
        text["tenants"].append({"name": "odd", "apiKeys": [7, [], "odd-key"], "priority": "NUMBER"})
        yield text, number


class EntryOddEntries(EntryCase):
    def put_odd(self, values):
        for key, value in values.items():
            self.platform.store.put(key, value)

    def lines(self, step, part=""):
        return [line for entry in self.entries for line in entry.output().splitlines() if f"step={step} " in line + " " and part in line]

    def check_followed(self, name):
        """A target that appears is used by all instances, and one that leaves is not any more, within the bound."""
        replica = self.platform.service("shop", "north")
        wait_until(lambda: all(f"step=live target={replica.name} " in entry.output() for entry in self.entries), f"{replica.name} appears {name}", FOLLOWED_WITHIN_S)
        self.platform.store.remove("servers/" + replica.name)
        wait_until(lambda: all(f"step=gone target={replica.name}\n" in entry.output() for entry in self.entries), f"{replica.name} leaves {name}", FOLLOWED_WITHIN_S)

    def check_served(self, name, requests=10):
        for index, entry in enumerate(self.entries):
            for number in range(requests):
                for path in ("/plain/x", "/once/x"):
                    self.assertEqual(entry.send_request(path, f"{name}-{index}-{number}").status, 200, (name, path))

    def check_unused(self, odd):
        live = {match for entry in self.entries for match in re.findall(r'step=live target=("(?:[^"\\]|\\.)*"|\S*)', entry.output())}
        self.assertEqual(live, {replica.name for replica in self.platform.replicas}, "targets taken into use")
        self.assertFalse([line for line in self.lines("seen", "duty=members") if "member=entry-" not in line], "no entry makes a member of what is none")
        ignored = self.lines("ignored", "duty=targets")
        for line in ignored:
            self.assertIn("level=warning", line)
            self.assertIn("reason=", line)
        wait_until(lambda: len({re.search(r'key=("(?:[^"\\]|\\.)*"|\S*)', line)[1] for line in self.lines("ignored", "duty=targets")}) >= len(odd), f"{len(odd)} entries are named as ignored", 5)
        for entry in self.entries:
            named = [re.sub(r"time=\S+ ", "", line) for line in entry.output().splitlines() if "duty=targets step=ignored" in line]
            self.assertEqual(len(named), len(set(named)), "a line comes once for each revision")

    def test_odd_entries_before_the_start(self):
        odd = odd_targets()
        others = odd_others()
        start = self.platform_started
        self.platform_started = lambda: (start(), self.put_odd(odd), self.put_odd(others))
        self.start_entries(3)
        self.check_served("start")
        self.check_followed("after the start")
        self.entries[0].kill()
        self.entries[0] = self.entry(0)
        wait_until(self.entries[0].is_ready, "the first is ready again")
        self.check_followed("after a kill")
        self.check_served("kill")
        self.check_unused(odd)
        self.assertTrue(all(entry.running for entry in self.entries))

    def test_odd_entries_while_it_runs(self):
        self.start_entries(3)
        odd = odd_targets()
        pids = [entry.pid for entry in self.entries]
        self.put_odd(odd)
        self.check_followed("after odd targets")
        self.put_odd(odd_others())
        self.check_followed("after odd entries of each kind")
        for text, number in odd_configs(2):
            self.platform.store.put("op/config", json_with(text, number))
            version = str(text["version"])
            wait_until(lambda version=version: all(f"step=in_force version={version} " in entry.output() for entry in self.entries), f"configuration with {number} in force", FOLLOWED_WITHIN_S)
        self.check_served("odd configuration")
        for text, number in odd_configs(900, UNREADABLE_NUMBERS):
            self.platform.store.put("op/config", json_with(text, number))
        for value in (b"[" * DEPTH + b"]" * DEPTH, b"", b"\xff", b'{"version":1e400}', b"9" * 400):
            self.platform.store.put("op/config", value)
        self.check_followed("after odd configurations")
        for entry in self.entries:
            self.assertTrue([line for line in self.lines("decode", "duty=config") if f"instance={entry.name} " in line and "level=error" in line])
            self.assertFalse(self.lines("in_force", "version=90"))
        self.check_served("end")
        self.check_unused(odd)
        self.assertEqual([entry.pid for entry in self.entries if entry.running], pids)


def json_with(document, number):
    return json.dumps(document).encode().replace(b'"NUMBER"', number)


if __name__ == "__main__":
    unittest.main(verbosity=2)
