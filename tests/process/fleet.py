"""A small but complete deployment for process tests, the demo and measurements: stand-ins,
daemons in three failure domains, and a configuration applied with lovagectl."""

import json
import os
import re
import subprocess

from kit import BIN, call, free_ports, wait_until

DOMAINS = ["caerdydd", "abertawe", "wrecsam"]

CONFIGURATION = """
[[client_account]]
name = "mawr"
labels = { tier = "gold" }
weight = 3
objectives = { availability = 0.999, first_token_ms = 500, full_answer_ms = 5000 }

[[client_account]]
name = "bach"
labels = { tier = "silver" }
objectives = { availability = 0.99, first_token_ms = 1000 }

[[client_account]]
name = "trainer"
labels = { tier = "training" }

[[target_pool]]
name = "model-pool"
kind = "engine"
model = "model"
labels = { work = "models" }
failure_domains = ["caerdydd", "abertawe", "wrecsam"]
ceiling = 8

[[target_pool]]
name = "trade-app"
kind = "service"
labels = { work = "trade" }
failure_domains = ["caerdydd", "abertawe", "wrecsam"]
ceiling = 3

[[target_pool]]
name = "judges"
kind = "service"
labels = { work = "judging" }
failure_domains = ["caerdydd"]

[[route]]
name = "judge"
path_prefix = "/judge"
kind = "service"
methods = ["POST"]
targets = "work=judging"
accounts = "tier=training"
idempotent = true
deadline_ms = 5000

[[route]]
name = "completions"
path_prefix = "/v1/completions"
kind = "engine"
methods = ["POST"]
targets = "work=models"
accounts = "tier in (gold, silver)"
idempotent = true
deadline_ms = 20000

[[route]]
name = "chat"
path_prefix = "/v1/chat/completions"
kind = "engine"
methods = ["POST"]
targets = "work=models"
idempotent = true

[[route]]
name = "stock"
path_prefix = "/stock"
kind = "service"
targets = "work=trade"
accounts = "tier in (gold, silver)"
idempotent_methods = ["GET"]
deadline_ms = 5000

[[route]]
name = "opening-hours"
path_prefix = "/open"
kind = "service"
targets = "work=trade"
open = true
idempotent_methods = ["GET"]

[[run]]
name = "quotes"
account = "trainer"
model = "model"
group_size = 4
groups_per_step = 4
staleness_bound = 2
targets = "work=models"
judge = "judge"
max_tokens = 64
"""


class Fleet:
    """The running deployment: one stand-in of each kind, engines, services, and daemons that are named entry-0, entry-1 and so on."""

    def __init__(self, kit, daemons=4, engines=4, services=3, engine_flags=None, service_flags=None, platform_flags=None,
                 kv_flags=None, settings=None, configuration=CONFIGURATION, daemons_with_data_folder=0):
        self.kit = kit
        self.kv = kit.standin("kv", **(kv_flags or {}))
        self.weights = kit.standin("weights")
        self.judge = kit.standin("judge")
        self.engines = kit.engines(engines, **{"tokens_per_second": 400, "max_running": 16, **(engine_flags or {})})
        self.services = kit.services(services, **(service_flags or {}))
        self.daemon_names = [f"entry-{i}" for i in range(daemons)]
        self.ports = {name: free_ports(3) for name in self.daemon_names}
        target_slots = [self.target_slot(t, "model-pool", i) for i, t in enumerate(self.engines)]
        target_slots += [self.target_slot(t, "trade-app", i) for i, t in enumerate(self.services)]
        target_slots.append({"id": "judge-0", "address": self.judge.address, "pool": "judges", "kind": "firm", "failure_domain": DOMAINS[0],
                             "started": True, "price_micro_per_hour": 1_000_000})
        instances = [{"id": name, "address": f"127.0.0.1:{self.ports[name] + 2}", "failure_domain": DOMAINS[i % 3], "state": "live"}
                     for i, name in enumerate(self.daemon_names)]
        self.platform = kit.standin("platform", setup={"slots": target_slots, "instances": instances}, **{"lag_ms": 100, **(platform_flags or {})})
        self.secret_file = kit.folder / "instance.secret"
        self.secret_file.write_text("a secret that all instances of the test share\n")
        self._make_operator_key()
        self.settings = settings or {}
        self.daemons_with_data_folder = daemons_with_data_folder
        self.daemons = {name: self.start(name) for name in self.daemon_names}
        self.configuration_file = kit.folder / "configuration.toml"
        self.configuration_file.write_text(configuration)
        self.keys = {}

    def target_slot(self, target, pool, i):
        return {"id": target.name, "address": target.address, "pool": pool, "kind": "firm", "failure_domain": DOMAINS[i % 3],
                "started": True, "price_micro_per_hour": 2_000_000}

    def _make_operator_key(self):
        output = self.kit.run("lovagectl", "keys", "bootstrap").stdout
        self.operator_key = re.search(r"# (lr_\S+)", output).group(1)
        self.security = dict(re.findall(r'(\w+) = "(\w+)"', output))

    def daemon_settings(self, name):
        i = self.daemon_names.index(name)
        port = self.ports[name]
        sections = {
            "instance": {"name": name, "failure_domain": DOMAINS[i % 3], "region": "wales"},
            "listen": {"callers": f"127.0.0.1:{port}", "operators": f"127.0.0.1:{port + 1}", "instances": f"127.0.0.1:{port + 2}"},
            "platform": {"key_value": [self.kv.url], "platform": self.platform.url, "weights": self.weights.url},
            "security": {"instance_secret_file": str(self.secret_file), **self.security},
            "timing": {"heartbeat": "200ms", "lease": "1s", "drain": "10s", "load_reports": "200ms", "target_list": "200ms",
                       "usage_window": "3s", "usage_grace": "1s"},
            "limits": {"target_silence": "1s"},
            "log": {"level": "info"},
        }
        if i < self.daemons_with_data_folder:
            folder = self.kit.folder / f"data-{name}"
            folder.mkdir(exist_ok=True)
            sections["instance"]["data_folder"] = str(folder)
        for section, entries in self.settings.items():
            sections.setdefault(section, {}).update(entries)
        return sections

    def start(self, name, wait=True):
        daemon = self.kit.daemon(name, self.daemon_settings(name), ready_path="/healthz", wait=wait)
        if hasattr(self, "daemons"):
            self.daemons[name] = daemon
        return daemon

    def ctl(self, *arguments, on=None, check=True):
        daemon = self.daemons[on or self.daemon_names[0]]
        env = dict(os.environ, LOVAGERAIL_KEY=self.operator_key)
        result = subprocess.run([str(BIN / "lovagectl"), "-s", daemon.operators, *map(str, arguments)], capture_output=True, text=True,
                                timeout=60, check=False, env=env)
        if check and result.returncode != 0:
            raise AssertionError(f"lovagectl {arguments} gave {result.returncode}: {result.stdout}{result.stderr}")
        return result

    def ctl_json(self, *arguments, on=None):
        return json.loads(self.ctl("-o", "json", *arguments, on=on).stdout)

    def apply(self):
        """Applies the configuration and waits until it is in force on all daemons."""
        wait_until(lambda: len(self.ctl_json("status")["instances"]) == len(self.daemons), "all daemons in the status")
        return self.ctl("apply", "-f", self.configuration_file, "--wait").stdout

    def grant(self, account):
        """Grants a new key to an account: (id, raw key)."""
        output = self.ctl_json("keys", "grant", "--account", account)
        self.keys[account] = output["key"]
        return output["id"], output["key"]

    def callers(self):
        """URLs of the callers' listeners of all running daemons."""
        return [daemon.callers for daemon in self.daemons.values() if daemon.running]

    def set_up(self):
        """Applies the configuration, grants each account a key and waits until all entries serve requests."""
        self.apply()
        for account in ("mawr", "bach", "trainer"):
            self.grant(account)
        wait_until(lambda: all(self.knows_keys(url) for url in self.callers()), "all entries know the keys")
        wait_until(lambda: all(self.is_serving(url) for url in self.callers()), "all entries serve requests")
        return self

    def knows_keys(self, url):
        """Whether the key that was granted last is in force there, and so all are; a grant returns earlier. No target gets the
        request, as the trainer's account may not use the route."""
        return call("GET", url + "/stock/ready", headers=self.auth("trainer")).status != 401

    def is_serving(self, url):
        response = call("POST", url + "/v1/completions", {"model": "model", "prompt": "is it there", "max_tokens": 2}, headers=self.auth("mawr"))
        service = call("GET", url + "/stock/ready", headers=self.auth("mawr"))
        return response.status == 200 and service.status == 200

    def auth(self, account):
        return {"Authorization": "Bearer " + self.keys[account]}

    def engine_versions(self):
        """The weight version that each engine reports."""
        return [call("GET", engine.url + "/load").json["weight_version"] for engine in self.engines]

    def wait_for_version(self, version, seconds=10):
        """Whether all engines report this version or a newer one within the time."""
        try:
            wait_until(lambda: all(v >= version for v in self.engine_versions()), f"version {version}", seconds=seconds)
        except AssertionError:
            return False
        return True
