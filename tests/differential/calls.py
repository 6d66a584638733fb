"""Simulated clients, attempts, probes and loads: each action on a call results in a plausible event."""

from settings import chance, log_uniform

CALL_ACTIONS = {"Assign", "Recall", "OverloadReply", "EndFailed"}
HINT_GIVEN, CLIENT_RETRY, WRITE = 1, 2, 4


class Call:
    def __init__(self, rank, incarnation, service, function, limit):
        self.rank, self.incarnation = rank, incarnation
        self.service, self.function, self.limit = service, function, limit
        self.finished = False
        self.attempts = []


class Attempt:
    def __init__(self, number, host, began):
        self.number, self.host, self.began = number, host, began
        self.ended = False
        self.streaming = False


class Calls:
    def __init__(self, stream):
        self.stream = stream
        self.rng = stream.rng
        self.env = stream.site.env
        self.calls = {}
        self.running = set()
        self.next_number = 0
        self.gap = log_uniform(self.rng, 2, 300) * max(1, stream.site.routers / stream.site.hosts)
        self.work_ms = log_uniform(self.rng, 1, 100)
        self.error_rate = self.rng.choice([0, 0, 0.02, 0.2])
        self.full_rate = self.rng.choice([0, 0, 0.05, 0.3])
        self.disconnect_rate = self.rng.choice([0, 0.02, 0.2])

    def is_running(self, rank):
        return rank in self.running

    def start(self, rank):
        self.running.add(rank)
        self.schedule_arrival(rank, self.stream.incarnation[rank])

    def stop(self, rank):
        self.running.discard(rank)

    def schedule_arrival(self, rank, incarnation):
        burst = 0.05 if chance(self.rng, 0.2) else 1
        self.stream.at(self.rng.expovariate(1 / (self.gap * burst)), lambda: self.arrive(rank, incarnation))

    def arrive(self, rank, incarnation):
        if incarnation != self.stream.incarnation[rank]:
            return
        self.schedule_arrival(rank, incarnation)
        self.new_call(rank, self.rng.choice(self.env["Classes"]), self.function(), 0)

    def function(self):
        """A random function; a few functions get most calls."""
        return 1000 + int(self.stream.site.functions * self.rng.random() ** 2)

    def new_call(self, rank, service, function, retries):
        rng = self.rng
        identity = f"c/{self.next_number}"
        self.next_number += 1
        limit = round(service["HardLimit"] * rng.choice([1, 1, 1, 0.3]), 3)
        call = Call(rank, self.stream.incarnation[rank], service, function, limit)
        call.retries = retries
        self.calls[identity] = call
        bits = rng.choice([0, HINT_GIVEN, HINT_GIVEN]) + rng.choice([0, WRITE])
        if retries:
            bits += CLIENT_RETRY
        cost_hint = round(self.work_ms * rng.uniform(0.3, 3), 2) if bits & HINT_GIVEN else None
        load_hint = round(rng.uniform(50, 900), 1) if chance(rng, 0.5) else None
        tenant = rng.choice(self.stream.site.tenants) if self.stream.site.tenants else None
        memory_mb, lanes = rng.choice([64, 256, 512, 2000]), rng.choice([1, 1, 2, 8])
        self.stream.deliver(rank, ["Order", identity, service["Name"], cost_hint, tenant, bits, memory_mb,
                                   function, load_hint, limit, lanes])
        self.stream.at(limit, lambda: self.disconnect_client(identity))
        if chance(rng, self.disconnect_rate):
            self.stream.at(limit * rng.random(), lambda: self.disconnect_client(identity))

    def disconnect_client(self, identity):
        call = self.calls[identity]
        if not call.finished:
            call.finished = True
            self.stream.deliver(call.rank, ["Gone", identity], call.incarnation)
            self.maybe_retry(call)

    def maybe_retry(self, call):
        if call.retries < 2 and call.rank in self.running and chance(self.rng, 0.3):
            self.stream.at(self.rng.uniform(1, 400), lambda: self.retry(call))

    def retry(self, call):
        if call.rank in self.running:
            self.new_call(call.rank, call.service, call.function, call.retries + 1)

    def carry_out(self, rank, name, values):
        if name in CALL_ACTIONS:
            call = self.calls[values[0]]
            if name == "Assign":
                self.assign(call, *values)
            elif name == "Recall":
                self.recall(call, *values)
            elif not call.finished:
                call.finished = True
                self.maybe_retry(call)
        elif name == "Touch":
            self.probe(rank, values[0])
        elif name == "Load":
            self.load(rank, *values)
        elif name == "Unmount":
            self.stream.fleet.hosts[values[0]].copies.pop(values[1], None)
        else:
            raise ValueError(f"the old adapter sent an unknown action: {name}")

    def report(self, host, modes):
        if self.env["LoadInfo"]["How"] not in modes or chance(self.rng, 0.1):
            return None
        return host.report(self.env["LoadInfo"]["Fields"], self.rng)

    def assign(self, call, identity, host_id, allowed):
        host = self.stream.fleet.hosts[host_id]
        attempt = Attempt(len(call.attempts), host, self.stream.now)
        call.attempts.append(attempt)
        status, delay, remark = self.outcome(call, host)
        if call.finished or attempt.number >= self.env["Bounds"]["SendCap"] or allowed < 0:
            status, delay, remark = "NOP", 0.1, None
        time_out = min(allowed or call.limit, call.limit)
        streams = call.service["Stream"] and status in ("GOOD", "BAD", "RST") and delay < time_out
        if streams:
            self.stream.at(delay / 2, lambda: self.receive_head(call, identity, attempt))
        elif delay > time_out:
            status, delay, remark = "LATE", time_out, None
        host.in_flight += 1
        self.stream.at(delay, lambda: self.finish(call, identity, attempt, status, remark))

    def outcome(self, call, host):
        """How an attempt at this host ends: status, delay and remark."""
        rng, family = self.rng, self.env["FamilyInfo"]
        concurrency = rng.randint(0, 30) * 8 if family["NotesPeersInHand"] else 0
        if not host.reachable:
            slow_failure = ("NOCONN", self.env["Bounds"]["ConnectTimeout"], 0)
            return rng.choice([slow_failure, ("NOCONN", 0.5, 0), ("RST", 3.0, 0)])
        if host.availability != 2 or host.in_flight > 2 * host.slots or chance(rng, self.full_rate):
            return "FULL", rng.uniform(0.2, 3), concurrency
        wait, warmth = 0.0, 1
        if family["MemoryMbByKind"] and call.function not in host.copies:
            if family["OnMiss"] == "miss":
                return "MISS", rng.uniform(0.2, 3), rng.choice([0, 4])
            wait, warmth = rng.uniform(20, 800), rng.choice([2, 3])
            host.copies[call.function] = 1
        work = self.work_ms * rng.expovariate(1) * host.slowness * max(1, host.in_flight / host.slots)
        if chance(rng, max(self.error_rate, host.error_rate)):
            return rng.choice(["BAD", "BAD", "RST"]), wait + work, rng.choice([0, 4])
        return "GOOD", wait + work + 0.3, (warmth if family["TellsWarm"] else 0) + concurrency

    def receive_head(self, call, identity, attempt):
        if attempt.ended or call.finished:
            return
        attempt.streaming = True
        elapsed = round(self.stream.now - attempt.began, 3)
        message = ["HeadReceived", identity, attempt.number, attempt.host.address, elapsed]
        self.stream.deliver(call.rank, message, call.incarnation)

    def finish(self, call, identity, attempt, status, remark):
        if attempt.ended:
            return
        attempt.ended = True
        attempt.host.in_flight -= 1
        broken_stream = attempt.streaming and status != "GOOD"
        if status == "GOOD" or broken_stream:
            call.finished = True
        elapsed = round(self.stream.now - attempt.began, 3)
        report = self.report(attempt.host, ["piggyback"])
        message = ["Result", identity, remark, status, call.finished, elapsed, attempt.number,
                   attempt.host.address, report]
        self.stream.deliver(call.rank, message, call.incarnation)

    def recall(self, call, identity, number):
        attempt = call.attempts[number]
        if not attempt.streaming:
            delay = self.rng.uniform(0, 2)
            self.stream.at(delay, lambda: self.finish(call, identity, attempt, "CXL", None))

    def probe(self, rank, host_id):
        host = self.stream.fleet.hosts[host_id]
        status = "NOCONN" if not host.reachable else "BAD" if chance(self.rng, host.error_rate) else "GOOD"
        elapsed = round(self.rng.uniform(0.3, 20) * host.slowness, 3)
        report = self.report(host, ["piggyback", "pull"]) if status == "GOOD" else None
        self.stream.later(elapsed, rank, ["Sampled", status, elapsed, host_id, report])

    def load(self, rank, host_id, function, copies):
        host = self.stream.fleet.hosts[host_id]
        elapsed = round(self.rng.uniform(1, 1000), 3)
        status = "NOCONN" if not host.reachable else "GOOD"
        if host.reachable and chance(self.rng, 0.2):
            status = self.rng.choice(["FULL", "BAD", "RST", "LATE"])
        if status == "GOOD":
            host.copies[function] = max(copies, host.copies.get(function, 0))
        count = host.copies.get(function, 0) if status == "GOOD" else 0
        self.stream.later(elapsed, rank, ["BroughtUp", host_id, function, status, elapsed, count])
