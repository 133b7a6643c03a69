"""The key-value, platform, service, judge and weight stand-ins follow docs/PROTOCOLS.md, and
each fault that can be injected has its effect."""

import concurrent.futures
import os
import time
import unittest

from kit import CONNECTION_ERRORS, KitTest, Stream, b64, call, get, is_sanitized, post, unb64, wait_until


class StartedPrograms(KitTest):
    def test_each_has_a_session_of_its_own(self):
        """Guards against a paused program that ends by SIGHUP with the shell that started the tests."""
        program = self.kit.standin("kv")
        self.assertEqual(os.getsid(program.pid), program.pid)


class KeyValueStandin(KitTest):
    def setUp(self):
        super().setUp()
        self.kv = self.kit.standin("kv", history=0)

    def call_service(self, path, body):
        return post(self.kv.url + path, body)

    def put(self, key, value, **more):
        return self.call_service("/v3/kv/put", {"key": b64(key), "value": b64(value), **more})

    def range(self, key, **more):
        return self.call_service("/v3/kv/range", {"key": b64(key), **more}).json

    def value(self, key, **more):
        kvs = self.range(key, **more)["kvs"]
        return unb64(kvs[0]["value"]).decode() if kvs else None

    def watch(self, key, end, start=None):
        create = {"key": b64(key), "range_end": b64(end)}
        if start:
            create["start_revision"] = str(start)
        return Stream("POST", self.kv.url + "/v3/watch", {"create_request": create})

    def test_revisions_ranges_and_old_reads(self):
        first = int(self.put("a/1", "x").json["header"]["revision"])
        self.put("a/2", "y")
        self.put("a/1", "z")
        self.put("b/1", "other")
        listed = self.range("a/", range_end=b64("a0"))
        self.assertEqual([(unb64(kv["key"]), unb64(kv["value"]), kv["version"]) for kv in listed["kvs"]],
                         [(b"a/1", b"z", "2"), (b"a/2", b"y", "1")])
        self.assertEqual(int(listed["header"]["revision"]), first + 3)
        self.assertEqual(int(listed["kvs"][0]["create_revision"]), first)
        self.assertEqual(int(listed["kvs"][0]["mod_revision"]), first + 2)
        self.assertEqual(self.value("a/1", revision=str(first)), "x")
        limited = self.range("a/", range_end=b64("a0"), limit="1", keys_only=True)
        self.assertEqual((len(limited["kvs"]), limited["more"], limited["count"]), (1, True, "2"))
        self.assertNotIn("value", limited["kvs"][0])
        all_keys = self.range("\0", range_end=b64("\0"))
        self.assertEqual(all_keys["count"], "3")
        deleted = self.call_service("/v3/kv/deleterange", {"key": b64("a/"), "range_end": b64("a0")}).json
        self.assertEqual(deleted["deleted"], "2")
        self.assertIsNone(self.value("a/1"))
        self.assertEqual(self.value("a/1", revision=str(first + 2)), "z")

    def test_transactions_compare_and_swap(self):
        def create(value):
            return self.call_service("/v3/kv/txn", {
                "compare": [{"key": b64("k"), "target": "CREATE", "result": "EQUAL", "create_revision": "0"}],
                "success": [{"request_put": {"key": b64("k"), "value": b64(value)}}],
                "failure": [{"request_range": {"key": b64("k")}}]}).json
        self.assertTrue(create("mine")["succeeded"])
        second = create("theirs")
        self.assertFalse(second["succeeded"])
        current = second["responses"][0]["response_range"]["kvs"][0]
        self.assertEqual(unb64(current["value"]), b"mine")

        def compare_and_swap(revision, value):
            return self.call_service("/v3/kv/txn", {
                "compare": [{"key": b64("k"), "target": "MOD", "result": "EQUAL", "mod_revision": str(revision)}],
                "success": [{"request_put": {"key": b64("k"), "value": b64(value)}}]}).json["succeeded"]
        self.assertTrue(compare_and_swap(current["mod_revision"], "next"))
        self.assertFalse(compare_and_swap(current["mod_revision"], "late"))
        self.assertEqual(self.value("k"), "next")
        delete_if_value = {"compare": [{"key": b64("k"), "target": "VALUE", "value": b64("next")}],
                           "success": [{"request_delete_range": {"key": b64("k")}}]}
        self.assertTrue(self.call_service("/v3/kv/txn", delete_if_value).json["succeeded"])
        self.assertFalse(self.call_service("/v3/kv/txn", delete_if_value).json["succeeded"])

    def test_a_transaction_is_one_revision_and_one_of_many_racers_wins(self):
        puts = [{"request_put": {"key": b64(f"m/{i}"), "value": b64("v")}} for i in range(128)]
        self.call_service("/v3/kv/txn", {"success": puts})
        kvs = self.range("m/", range_end=b64("m0"))["kvs"]
        self.assertEqual((len(kvs), len({kv["mod_revision"] for kv in kvs})), (128, 1))
        self.assertEqual(self.call_service("/v3/kv/txn", {"success": puts + puts[:1]}).status, 400)
        self.assertEqual(self.call_service("/v3/kv/txn", {"success": [puts[0], puts[0]]}).status, 400)

        def race(i):
            return self.call_service("/v3/kv/txn", {
                "compare": [{"key": b64("race"), "target": "VERSION", "version": "0"}],
                "success": [{"request_put": {"key": b64("race"), "value": b64(str(i))}}]}).json["succeeded"]
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            self.assertEqual(sum(pool.map(race, range(64))), 1)

    def test_value_limit(self):
        self.assertEqual(self.put("big", "x" * (1024 * 1024)).status, 200)
        self.assertEqual(self.put("big", "x" * (1024 * 1024 + 1)).status, 400)

    def test_leases_expire_and_are_kept_alive(self):
        lease = self.call_service("/v3/lease/grant", {"TTL": "1"}).json["ID"]
        other = self.call_service("/v3/lease/grant", {"TTL": "30", "ID": "99"}).json["ID"]
        self.assertEqual(other, "99")
        self.put("held", "x", lease=lease)
        self.put("long", "x", lease=other)
        for _ in range(4):
            time.sleep(0.4)
            self.assertEqual(self.call_service("/v3/lease/keepalive", {"ID": lease}).json["result"]["TTL"], "1")
        self.assertEqual(self.value("held"), "x")
        wait_until(lambda: self.value("held") is None, "expiry", 3)
        self.assertEqual(self.call_service("/v3/lease/keepalive", {"ID": lease}).json["result"]["TTL"], "0")
        self.assertEqual(self.put("late", "x", lease=lease).status, 400)
        self.assertEqual(self.call_service("/v3/lease/revoke", {"ID": "99"}).status, 200)
        self.assertIsNone(self.value("long"))
        self.assertEqual(self.call_service("/v3/lease/revoke", {"ID": "99"}).status, 404)

    def test_injected_lease_expiry(self):
        lease = self.call_service("/v3/lease/grant", {"TTL": "60"}).json["ID"]
        self.put("held", "x", lease=lease)
        self.kv.faults(lapse_leases=True)
        self.assertIsNone(self.value("held"))
        self.assertEqual(self.call_service("/v3/lease/keepalive", {"ID": lease}).json["result"]["TTL"], "0")

    def test_watches_see_old_and_new_events_in_order(self):
        start = int(self.put("w/1", "a").json["header"]["revision"])
        self.put("x", "not watched")
        with self.watch("w/", "w0", start) as watch:
            lines = watch.objects()
            self.assertTrue(next(lines)["result"]["created"])
            old = next(lines)["result"]["events"]
            self.assertEqual([unb64(event["kv"]["value"]) for event in old], [b"a"])
            self.put("w/2", "b")
            new = next(lines)["result"]
            self.assertEqual((new["events"][0]["type"], unb64(new["events"][0]["kv"]["key"])), ("PUT", b"w/2"))
            self.call_service("/v3/kv/deleterange", {"key": b64("w/1")})
            deletion = next(lines)["result"]["events"][0]
            self.assertEqual((deletion["type"], unb64(deletion["kv"]["key"])), ("DELETE", b"w/1"))

    def test_many_watches_at_once(self):
        watches = [self.watch("w/", "w0") for _ in range(100)]
        lines = [watch.objects() for watch in watches]
        for entry in lines:
            next(entry)
        self.put("w/1", "all")
        for entry in lines:
            self.assertEqual(unb64(next(entry)["result"]["events"][0]["kv"]["value"]), b"all")
        for watch in watches:
            watch.close()
        wait_until(lambda: self.kv.status("Threads") < 10, "end of the watch threads", 5)

    def test_compaction_cancels_old_watches_and_refuses_old_reads(self):
        first = int(self.put("c", "1").json["header"]["revision"])
        for value in "2345":
            self.put("c", value)
        self.call_service("/v3/kv/compaction", {"revision": str(first + 3)})
        with self.watch("c", "d", first) as watch:
            lines = watch.objects()
            next(lines)
            end = next(lines)["result"]
            self.assertTrue(end["canceled"])
            self.assertEqual(int(end["compact_revision"]), first + 3)
            self.assertEqual(list(lines), [])
        self.assertEqual(self.call_service("/v3/kv/range", {"key": b64("c"), "revision": str(first)}).status, 400)
        self.assertEqual(self.value("c"), "5")
        with self.watch("c", "d", first + 4) as watch:
            lines = watch.objects()
            next(lines)
            self.assertEqual(unb64(next(lines)["result"]["events"][0]["kv"]["value"]), b"5")

    def test_rate_limit_and_counts(self):
        limited = self.kit.standin("kv", name="limited", max_writes=10, max_reads=20)
        body = {"key": b64("a"), "value": b64("b")}
        statuses = [post(limited.url + "/v3/kv/put", body).status for _ in range(30)]
        self.assertIn(429, statuses)
        self.assertLessEqual(statuses.count(200), 20)  # 10 a second, and the calls touch at most two one-second windows
        stats = limited.stats()
        self.assertEqual((stats["writes"], stats["refused_by_rate"]), (30, statuses.count(429)))
        self.assertNotIn("reads", stats)

    def test_lost_answer_after_taking_effect(self):
        self.kv.faults(lose_answers=1, path="/v3/kv/put")
        with self.assertRaises(CONNECTION_ERRORS):
            self.put("lost", "but there")
        self.assertEqual(self.value("lost"), "but there")
        self.assertEqual(self.put("lost", "again").status, 200)

    def test_outage_slow_hang_and_dropped_requests(self):
        self.put("k", "v")
        with self.watch("k", "l") as watch:
            lines = watch.objects()
            next(lines)
            self.kv.faults(outage=True)
            self.assertEqual(self.put("k", "w").status, 503)
            with self.assertRaises(CONNECTION_ERRORS):
                next(lines)
        self.kv.faults(outage=False, drop_requests=1)
        with self.assertRaises(CONNECTION_ERRORS):
            self.put("k", "dropped")
        self.assertEqual(self.value("k"), "v")
        self.kv.faults(slow_ms=300)
        begin = time.monotonic()
        self.value("k")
        self.assertGreaterEqual(time.monotonic() - begin, 0.3)
        self.kv.faults(slow_ms=0, hang=True)
        with self.assertRaises(OSError):
            post(self.kv.url + "/v3/kv/range", {"key": b64("k")}, timeout=0.3)
        self.kv.faults(hang=False)
        self.assertEqual(self.value("k"), "v")

    def test_stale_reads(self):
        old = int(self.put("k", "old").json["header"]["revision"])
        self.put("k", "new")
        self.kv.faults(stale_revisions=1)
        stale = self.range("k")
        self.assertEqual((unb64(stale["kvs"][0]["value"]), int(stale["header"]["revision"])), (b"old", old))
        self.kv.faults(stale_revisions=0, stale_at=old)
        self.put("k", "newer")
        self.assertEqual(self.value("k"), "old")
        self.kv.clear()
        self.assertEqual(self.value("k"), "newer")

    def test_silent_broken_and_gapped_watches(self):
        with self.watch("k", "l") as watch:
            lines = watch.objects()
            next(lines)
            self.kv.faults(drop_events=1)
            self.put("k", "dropped")
            time.sleep(0.3)
            self.put("k", "seen")
            self.assertEqual(unb64(next(lines)["result"]["events"][0]["kv"]["value"]), b"seen")
            self.kv.faults(silent_watches=True)
            self.put("k", "held back")
            time.sleep(0.3)
            self.kv.faults(silent_watches=False)
            self.assertEqual(unb64(next(lines)["result"]["events"][0]["kv"]["value"]), b"held back")
            self.kv.faults(cut_watches=1)
            with self.assertRaises(CONNECTION_ERRORS):
                next(lines)

    def test_malformed_calls_are_refused(self):
        self.assertEqual(call("POST", self.kv.url + "/v3/kv/range", b"not json").status, 400)
        self.assertEqual(self.call_service("/v3/kv/range", {"key": {"odd": 1}}).status, 400)
        self.assertEqual(self.call_service("/v3/nothing", {}).status, 404)
        self.assertEqual(self.put("k", "v").status, 200)

    @unittest.skipIf(is_sanitized(), "sizes of a plain build")
    def test_idle_size(self):
        self.assertLess(self.kv.status("RssAnon"), 10 * 1024)
        self.assertLessEqual(self.kv.status("Threads"), 4)


SLOTS = [
    {"id": "t1", "address": "127.0.0.1:1", "pool": "p", "kind": "firm", "failure_domain": "north",
     "price_micro_per_hour": 3_600_000_000, "labels": {"gpu": "big"}, "started": True},
    {"id": "t2", "address": "127.0.0.1:2", "pool": "p", "kind": "cheap", "failure_domain": "north"},
    {"id": "t3", "address": "127.0.0.1:3", "pool": "p", "kind": "cheap", "failure_domain": "south"},
]


class PlatformStandin(KitTest):
    def start(self, **flags):
        instances = [{"id": f"i{n}", "address": f"127.0.0.1:{n}", "failure_domain": "north", "state": "live"} for n in (1, 2)]
        flags = {"lag_ms": 0, "start_ms": 100, "stop_ms": 100, **flags}
        self.platform = self.kit.standin("platform", setup={"slots": SLOTS, "instances": instances}, **flags)

    def targets(self):
        return {entry["id"]: entry for entry in get(self.platform.url + "/targets").json["targets"]}

    def order(self, order_id, fencing, **more):
        return post(self.platform.url + "/orders", {"order_id": order_id, "fencing_number": fencing, **more})

    def start_cheap(self, order_id, fencing=1, domain="north"):
        return self.order(order_id, fencing, action="start", pool="p", kind="cheap", failure_domain=domain)

    def state(self, order_id):
        return get(f"{self.platform.url}/orders/{order_id}").json["state"]

    def test_order_starts_and_stops_a_target(self):
        self.start()
        self.assertEqual(self.start_cheap("o1").json["target"], "t2")
        self.assertEqual(self.state("o1"), "running")
        self.assertEqual(self.targets()["t2"]["state"], "starting")
        wait_until(lambda: self.targets()["t2"]["state"] == "live", "start")
        self.assertEqual(self.state("o1"), "done")
        self.assertEqual((self.targets()["t2"]["order_id"], self.targets()["t2"]["incarnation"]), ("o1", 1))
        self.assertEqual(self.order("o2", 1, action="stop", target="t2").status, 200)
        self.assertEqual(self.targets()["t2"]["state"], "leaving")
        wait_until(lambda: "t2" not in self.targets(), "stop")
        self.start_cheap("o3")
        self.assertEqual(self.targets()["t2"]["incarnation"], 2)
        self.assertEqual(get(self.platform.url + "/orders/unknown").status, 404)

    def test_orders_are_idempotent_and_survive_a_lost_answer(self):
        self.start()
        self.platform.faults(lose_answers=1, path="/orders")
        with self.assertRaises(CONNECTION_ERRORS):
            self.start_cheap("o1")
        self.assertEqual(self.start_cheap("o1").json["target"], "t2")
        self.assertEqual(self.platform.stats()["starts"], 1)

    def test_fencing(self):
        self.start()
        self.start_cheap("o1", fencing=5)
        self.assertEqual(self.start_cheap("o2", fencing=4, domain="south").status, 409)
        self.assertEqual(self.start_cheap("o3", fencing=6, domain="south").status, 200)
        self.assertEqual([(entry["order_id"], entry["stale"]) for entry in self.platform.log()["orders"]],
                         [("o1", False), ("o2", True), ("o3", False)])

    def test_fencing_by_domain_or_ignored(self):
        self.start(fencing_scope="domain")
        self.start_cheap("o1", fencing=5)
        self.assertEqual(self.start_cheap("o2", fencing=1, domain="south").status, 200)
        self.start(ignore_fencing=True)
        self.start_cheap("o1", fencing=5)
        self.assertEqual(self.start_cheap("o2", fencing=4, domain="south").status, 200)
        self.assertTrue(self.platform.log()["orders"][1]["stale"])

    def test_unobtainable_domain_and_no_slot_left(self):
        self.start()
        self.platform.faults(unobtainable="north/cheap")
        refused = self.start_cheap("o1")
        self.assertEqual((refused.status, refused.json["unobtainable"]), (503, True))
        self.assertEqual(self.start_cheap("o2", domain="south").status, 200)
        self.platform.faults(unobtainable="")
        self.assertEqual(self.start_cheap("o1").status, 200)
        self.assertEqual(self.start_cheap("o3").status, 503)

    def test_leaving_domain_lagging_lists_and_spend(self):
        self.start(lag_ms=400)
        self.assertGreater(wait_until(lambda: self.platform.log()["spend_micro"], "spend"), 0)
        self.platform.faults(leaving={"failure_domain": "north", "kind": "firm", "state": "leaving", "after_ms": 0})
        self.platform.faults(leaving={"id": "i1", "state": "leaving"})
        self.assertEqual(self.targets()["t1"]["state"], "live")
        instances = lambda: {entry["id"]: entry["state"] for entry in get(self.platform.url + "/instances").json["instances"]}
        self.assertEqual(instances(), {"i1": "live", "i2": "live"})
        wait_until(lambda: "t1" not in self.targets(), "the list to follow", 3)
        wait_until(lambda: instances() == {"i1": "leaving", "i2": "live"}, "the list to follow", 3)

    def test_usage_reports_are_kept_and_differing_ones_flagged(self):
        self.start()
        report = {"account": "a", "window": "w1", "fencing_number": 3, "digest": "d1", "figures": {"tokens": 7}, "late": {}}
        send = lambda **more: post(self.platform.url + "/usage", {**report, **more}).status
        self.assertEqual(send(), 200)
        self.assertEqual(send(), 200)
        self.assertEqual(send(digest="d2", figures={"tokens": 8}), 409)
        self.assertEqual(send(figures={"tokens": 8}), 409)
        self.assertEqual(send(window="w2", fencing_number=2), 200)
        self.platform.faults(lose_answers=1)
        with self.assertRaises(CONNECTION_ERRORS):
            send(window="w3")
        self.assertEqual(send(window="w3", fencing_number=1), 200)
        usage = get(self.platform.control + "/usage").json
        self.assertEqual((usage["differing"], usage["stale"], len(usage["reports"]), len(usage["windows"])), (2, 1, 7, 3))
        self.assertEqual(usage["windows"][0]["figures"], {"tokens": 7})


class ServiceStandins(KitTest):
    def test_runs_are_counted_by_key_and_ids_echoed(self):
        service = self.kit.standin("service", name="app")
        headers = {"Idempotency-Key": "k1", "X-Request-Id": "a1"}
        first = post(service.url + "/orders/new?x=1", {"pallets": 2}, headers=headers)
        self.assertEqual((first.json["run"], first.headers["X-Request-Id"], first.json["uri"]), (1, "a1", "/orders/new?x=1"))
        self.assertEqual(call("PUT", service.url + "/orders/new", b"{}", headers=headers).json["run"], 2)
        post(service.url + "/other", {"pallets": 3})
        log = service.log()
        self.assertEqual(sorted(log["runs"].values()), [1, 2])
        self.assertIn("Idempotency-Key: k1\r\n", log["calls"][0]["head"])
        self.assertTrue(log["calls"][0]["head"].startswith("POST /orders/new?x=1 HTTP/1.1\r\n"))
        self.assertEqual(get(service.url + "/load").json["running"], 0)

    def test_refusals_lost_cut_and_crossed_answers(self):
        service = self.kit.standin("service", name="app")
        service.faults(refuse=1)
        refused = post(service.url + "/x", {"n": 0})
        self.assertEqual((refused.status, refused.headers["X-Not-Run"]), (503, "true"))
        self.assertEqual(service.log()["runs"], {})
        service.faults(lose_answers=1)
        with self.assertRaises(CONNECTION_ERRORS):
            post(service.url + "/x", {"n": 1})
        self.assertEqual(sum(service.log()["runs"].values()), 1)
        service.faults(truncate_streams=1)
        with self.assertRaises(CONNECTION_ERRORS):
            post(service.url + "/x", {"n": 2})
        service.faults(cross_answers=2)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            ids = list(pool.map(lambda n: post(service.url + "/x", {"n": n}, headers={"X-Request-Id": f"a{n}"}).headers["X-Request-Id"], (3, 4)))
        self.assertEqual(ids, ["a4", "a3"])

    def test_crash_poison_and_restart(self):
        first, second = self.kit.services(2, "app")
        first.faults(poison="MARK")
        with self.assertRaises(CONNECTION_ERRORS):
            post(first.url + "/x", {"text": "has MARK"})
        wait_until(lambda: first.stats()["down"], "crash")
        with self.assertRaises(OSError):
            get(first.url + "/x")
        self.assertEqual(post(second.url + "/x", {}).status, 200)
        first.restart()
        self.assertEqual(get(first.url + "/load").json["incarnation"], 2)
        self.assertEqual(sum(first.log()["runs"].values()), 1)

    def test_judge(self):
        judge = self.kit.standin("judge")
        body = {"prompt": "p", "completion": "c", "sample": "s"}
        scores = {post(judge.url + "/judge", body, headers={"Idempotency-Key": "s"}).json["score"] for _ in range(2)}
        self.assertEqual(len(scores), 1)
        self.assertTrue(all(0 <= score < 1 for score in scores))
        self.assertEqual(judge.log()["runs"], {"s": 2})
        judge.faults(outage=True)
        self.assertEqual(post(judge.url + "/judge", body).status, 503)

    def test_weight_store_limits_its_rate(self):
        store = self.kit.standin("weights", rate=3, weight_bytes=1000)
        responses = [get(store.url + "/weights/model/7") for _ in range(8)]
        refused = [response for response in responses if response.status == 429]
        self.assertGreaterEqual(len(refused), 2)
        self.assertEqual(refused[0].headers["Retry-After"], "1")
        self.assertEqual(len(responses[0].body), 1000)
        other = wait_until(lambda: [response for response in [get(store.url + "/weights/model/8")] if response.status == 200], "the next window")
        self.assertNotEqual(other[0].body, responses[0].body)
        store.faults(truncate_streams=1, missing="model/9")
        time.sleep(1.1)
        with self.assertRaises(CONNECTION_ERRORS):
            get(store.url + "/weights/model/7")
        self.assertEqual(get(store.url + "/weights/model/9").status, 404)


if __name__ == "__main__":
    unittest.main()
