"""Random settings of a simulated site: capabilities, class semantics, prices and sizes."""

REPORT_FIELDS = ["inflight", "queue", "util", "latency_ms", "qps", "eps", "x0", "x1", "not-known"]


def chance(rng, probability):
    return rng.random() < probability


def log_uniform(rng, low, high):
    return low * (high / low) ** rng.random()


def random_class(rng, index):
    objective = round(log_uniform(rng, 30, 2000), 1)
    limit = round(objective * rng.uniform(1.2, 6), 1)
    row = {
        "Name": f"class-{index}",
        "Semantics": rng.choice(["repeatable", "by_key", "once"]),
        "KeyScope": rng.choice(["all", "zone", "cell"]),
        "KeyTtl": round(rng.uniform(20, 3000), 1),
        "Aim": objective,
        "HardLimit": limit,
        "LateValue": round(rng.random(), 2),
        "Gain": rng.choice([0.5, 1.0, 2.0, 5.0]),
        "Stream": chance(rng, 0.2),
    }
    if chance(rng, 0.3):
        row["AimStretch"] = round(rng.uniform(0.5, 6), 2)
    return row


def random_bounds(rng):
    return {
        "Cancel": chance(rng, 0.7),
        "ConnIdle": 15000.0,
        "ConnectTimeout": rng.choice([20.0, 100.0, 250.0]),
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 100000,
        "MaxOpen": 10000,
        "MaxRetryAfter": rng.choice([0.0, 200.0, 1000.0]),
        "PeerMessages": chance(rng, 0.5),
        "Probes": chance(rng, 0.6),
        "RetryAfter": chance(rng, 0.5),
        "SecondCopies": chance(rng, 0.6),
        "SendCap": rng.choice([1, 2, 3, 4, 8]),
        "StreamsPerConn": 32,
    }


def random_family(rng, kinds):
    loads_instances = chance(rng, 0.6)
    return {
        "LingerIdle": rng.choice([0.0, 500.0, 4000.0]),
        "LoadFloor": rng.choice([0.0, 2.0, 6.0, 50.0]),
        "LoadRatio": rng.choice([0.0, 0.1, 0.5]),
        "LoadWindow": rng.choice([0.0, 1000.0, 10000.0]),
        "MemoryMbByKind": [float(rng.choice([1024, 2048, 4096])) for _ in kinds] if loads_instances else [],
        "NotesPeersInHand": chance(rng, 0.5),
        "OnMiss": rng.choice(["load", "miss"]),
        "OrderTimeout": rng.choice([500.0, 3000.0]),
        "Orders": loads_instances and chance(rng, 0.8),
        "PriceOfIdle": rng.choice([0.0, 0.1]),
        "TellsWarm": chance(rng, 0.6),
    }


def random_rules(rng):
    return {
        "Cold": rng.choice([500.0, 3000.0, 15000.0]),
        "ColdFrom": rng.choice([0.1, 0.25, 0.6, 1.0]),
        "DrainGrace": rng.choice([100.0, 2000.0]),
        "FallMultiple": rng.choice([1.5, 2.0, 3.0]),
        "GraceToAnswer": rng.choice([4.0, 16.0]),
        "MustAskIn": rng.choice([500.0, 5000.0]),
        "TipAfter": rng.choice([500.0, 3000.0]),
    }


def random_prices(rng):
    return {
        "CrossZone": rng.choice([0.0, 0.05, 0.3]),
        "Origin": rng.choice([0.0, 0.1]),
        "Probe": rng.choice([0.0, 0.01, 0.1]),
    }


class Site:
    """The settings of a site, and the parameters of the simulation that invokers don't receive."""

    def __init__(self, rng):
        self.zones = [f"zone-{name}" for name in "abc"[: rng.choice([1, 1, 2, 3])]]
        self.kinds = [f"kind-{index}" for index in range(rng.choice([1, 2, 3]))]
        self.routers = rng.choice([1, 1, 2, 3, 5, 12])
        self.hosts = rng.choice([1, 2, 3, 5, 8, 15, 40])
        self.functions = rng.choice([1, 3, 10, 60])
        self.tenants = [f"tenant-{index}" for index in range(rng.choice([0, 1, 2, 4]))]
        fields = rng.sample(REPORT_FIELDS, rng.randint(1, 4))
        self.env = {
            "Az": self.zones[0],
            "Balancers": rng.choice([self.routers, self.routers, 20, 60]),  # most of them aren't simulated
            "Bounds": random_bounds(rng),
            "Classes": [random_class(rng, index) for index in range(rng.choice([1, 2, 3, 5]))],
            "Clients": {"MarksRetry": chance(rng, 0.5)},
            "Dcs": self.zones,
            "FamilyInfo": random_family(rng, self.kinds),
            "Kinds": self.kinds,
            "LoadInfo": {"Fields": fields, "How": rng.choice(["piggyback", "piggyback", "pull", "silent"])},
            "OverShareWorth": rng.choice([0.1, 0.5, 1.0]),
            "Prices": random_prices(rng),
            "RegistryMode": rng.choice(["push", "push", "ask"]),
            "Rules": random_rules(rng),
            "Tenants": [
                {
                    "Name": name,
                    "QuotaPerS": round(rng.uniform(1, 80), 1),
                    "Share": round(1 / len(self.tenants), 2),
                }
                for name in self.tenants
            ],
            "Tick": rng.choice([1.0, 4.0, 10.0]),
            "Weights": rng.choice(["silent", "nominal", "rough", "live"]),
            "WorthBy": rng.choice(["request", "work"]),
        }

    def env_for(self, rank, rng):
        """Settings that instance `rank` starts with; one in ten starts with some of them changed."""
        env = dict(self.env, Rank=rank, Az=self.zones[rank % len(self.zones)])
        if chance(rng, 0.1):
            env["Rules"] = random_rules(rng)
            env["Prices"] = random_prices(rng)
        return env
