"""Simulated hosts: capacity, loaded instances, faults, and their entries in discovery's list."""

from settings import chance, log_uniform

REMOVED, DRAINING, READY = 0, 1, 2


class Host:
    def __init__(self, address, site, rng):
        self.address = address
        self.cell = rng.randint(0, 4)
        self.zone = rng.choice(site.zones)
        self.kind = rng.choice(site.kinds)
        self.weight = 1.0 if site.env["Weights"] == "silent" else rng.choice([0.5, 1.0, 1.5, 4.0])
        self.availability = READY
        self.started = None
        self.reachable = True
        self.slowness = 1.0
        self.error_rate = 0.0
        self.slots = max(1, int(self.weight * rng.choice([2, 4, 16])))
        self.in_flight = 0
        self.copies = {}

    def row(self):
        return [self.address, self.cell, self.weight, self.kind, self.availability, self.started, self.zone]

    def report(self, fields, rng):
        values = {
            "inflight": self.in_flight,
            "queue": max(0, self.in_flight - self.slots),
            "util": round(min(1.0, self.in_flight / self.slots) * rng.uniform(0.8, 1.1), 3),
            "latency_ms": round(20 * self.slowness * rng.uniform(0.5, 2), 2),
            "qps": round(rng.uniform(0, 50), 1),
            "eps": round(50 * self.error_rate, 1),
            "x0": round(rng.random(), 2),
            "x1": rng.randint(0, 3),
            "not-known": rng.randint(0, 9),
        }
        return [values[name] for name in fields]


class Fleet:
    """All hosts by address, and random changes of them."""

    def __init__(self, site, rng):
        self.site = site
        self.rng = rng
        self.hosts = {}
        self.next_number = 0
        for _ in range(site.hosts):
            self.add(None)

    def add(self, started):
        number = self.next_number
        self.next_number += 1
        host = Host(f"10.20.{number // 200}.{number % 200 + 1}:{8000 + number}", self.site, self.rng)
        host.started = started
        self.hosts[host.address] = host
        return host

    def listed(self):
        return [host for host in self.hosts.values() if host.availability != REMOVED]

    def disturb(self, now):
        """Changes one host; returns those whose list entry changed."""
        rng = self.rng
        listed = self.listed()
        change = rng.choice(["add", "drain", "drain", "ready", "gone", "restart", "restart", "crash", "crash",
                             "recover", "recover", "slow", "errors", "well", "well", "weight"])
        if change == "add" or not listed:
            return [self.add(now if chance(rng, 0.7) else None)]
        host = rng.choice(listed)
        if change == "drain":
            host.availability = DRAINING
        elif change == "ready":
            host.availability = READY
        elif change == "gone":
            host.availability = REMOVED
            host.reachable = False
        elif change == "restart":
            host.availability, host.started, host.reachable, host.copies = READY, now, True, {}
        elif change == "weight":
            host.weight = round(log_uniform(rng, 0.3, 5), 2)
        else:
            self.disturb_unlisted(host, change)
            return []
        return [host]

    def disturb_unlisted(self, host, change):
        if change == "crash":
            host.reachable, host.copies = False, {}
        elif change == "recover":
            host.reachable = True
        elif change == "slow":
            host.slowness = self.rng.choice([3.0, 10.0, 50.0])
        elif change == "errors":
            host.error_rate = self.rng.choice([0.2, 0.6, 1.0])
        else:
            host.slowness, host.error_rate = 1.0, 0.0
