"""One random stream: the old adapter runs in a simulation, and each batch is recorded."""

import heapq
import json
import random
from collections import Counter

from calls import Calls
from discovery import Discovery
from hosts import Fleet
from settings import Site, chance, log_uniform

MAX_MESSAGES = 2500  # without timers
UNEXPECTED_MESSAGES = [
    ["Result", "c/none", 1, "GOOD", True, 3.5, 0, "10.20.0.1:8000", [1, 2]],
    ["Result", "c/none", None, "NO-SUCH-STATUS", False, None, 7, "10.9.9.9:1", None],
    ["Gone", "c/none"],
    ["HeadReceived", "c/none", 0, "10.20.0.1:8000", 2.0],
    ["Ring", 987654321987],
    ["Sampled", "RST", 5.0, "10.9.9.9:1", None],
    ["BroughtUp", "10.9.9.9:1", 5, "BAD", 1.0, 0],
    ["Heard", 99, "not a message of ours \u00e9"],
    ["NoSuchMessage", 1, 2, 3],
]


class Stream:
    def __init__(self, seed, exchange_line):
        """`exchange_line` sends a batch's line to the old adapter and returns the reply's line."""
        self.exchange_line = exchange_line
        self.rng = random.Random(seed)
        self.site = Site(self.rng)
        self.fleet = Fleet(self.site, self.rng)
        self.now = round(self.rng.uniform(0, 100000), 3)
        self.end = self.now + log_uniform(self.rng, 3000, 90000)
        self.unexpected_rate = self.rng.choice([0, 0, 0, 0.02])
        self.sequence = 0
        self.queue = []
        self.incarnation = {rank: 0 for rank in range(self.site.routers)}
        self.lines, self.replies = [], []
        self.events, self.actions = Counter(), Counter()
        self.calls = Calls(self)
        self.discovery = Discovery(self)
        self.disturbance_gap = log_uniform(self.rng, 300, 10000)
        self.restart_gap = log_uniform(self.rng, 4000, 60000)

    def at(self, delay, action):
        """Runs `action` in the first batch `delay` milliseconds from now or later."""
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + max(0.0, delay), self.sequence, action))

    def deliver(self, rank, message, incarnation=None):
        """Adds a message to the open batch, unless it is for an earlier incarnation of the instance."""
        if incarnation is not None and incarnation != self.incarnation[rank]:
            return
        self.inboxes.setdefault(rank, []).append(message)
        self.events[message[0]] += 1
        if self.unexpected_rate and chance(self.rng, self.unexpected_rate):
            unexpected = self.rng.choice(UNEXPECTED_MESSAGES)
            self.inboxes[rank].append(unexpected)
            self.events[unexpected[0]] += 1

    def messages(self):
        return sum(self.events.values()) - self.events["Ring"]

    def later(self, delay, rank, message):
        incarnation = self.incarnation[rank]
        self.at(delay, lambda: self.deliver(rank, message, incarnation))

    def start_instance(self, rank):
        self.deliver(rank, ["Init", self.rng.getrandbits(53), self.site.env_for(rank, self.rng)])
        self.discovery.start(rank)
        self.calls.start(rank)

    def stop_instance(self, rank):
        self.deliver(rank, ["PowerOff"])
        self.incarnation[rank] += 1
        self.calls.stop(rank)
        self.discovery.stop(rank)
        if chance(self.rng, 0.4):
            self.start_instance(rank)
        else:
            self.at(self.rng.uniform(1, 3000), lambda: self.start_instance(rank))

    def restart_some(self):
        self.at(self.rng.expovariate(1 / self.restart_gap), self.restart_some)
        rank = self.rng.randrange(self.site.routers)
        if self.calls.is_running(rank):
            self.stop_instance(rank)

    def disturb(self):
        self.at(self.rng.expovariate(1 / self.disturbance_gap), self.disturb)
        self.discovery.send_changes(self.fleet.disturb(self.now))

    def run(self):
        for rank in range(self.site.routers):
            self.at(0, lambda rank=rank: self.start_instance(rank))
        self.at(self.rng.expovariate(1 / self.disturbance_gap), self.disturb)
        self.at(self.rng.expovariate(1 / self.restart_gap), self.restart_some)
        tick = self.site.env["Tick"]
        while self.queue and self.now < self.end and self.messages() < MAX_MESSAGES:
            self.now = round(max(self.now + tick, self.queue[0][0]) + 0.0005, 3)
            self.inboxes = {}
            while self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            self.exchange()

    def exchange(self):
        """Sends the batch, and carries out each action of the reply."""
        routers = [{"Router": f"router_{rank}", "inbox": inbox} for rank, inbox in self.inboxes.items()]
        line = json.dumps({"Time": self.now, "n": len(self.lines), "routers": routers}, ensure_ascii=False)
        reply = self.exchange_line(line)
        self.lines.append(line)
        self.replies.append(reply)
        for group in json.loads(reply)["routers"]:
            rank = int(group["Router"].split("_")[1])
            for command in group["cmds"]:
                self.actions[command[0]] += 1
                self.carry_out(rank, command)

    def carry_out(self, rank, command):
        name, values = command[0], command[1:]
        if name == "Timer":
            self.later(max(values[0], 0.001), rank, ["Ring", values[1]])
        elif name == "Subscribe":
            self.discovery.subscribe(rank, values[0])
        elif name == "Publish":
            self.publish(rank, *values)
        elif name != "Record":
            self.calls.carry_out(rank, name, values)

    def publish(self, sender, to, contents):
        peers = range(self.site.routers) if to == "*" else [to]
        for peer in peers:
            if peer != sender and peer in self.incarnation and not chance(self.rng, 0.1):
                self.later(self.rng.uniform(1, 80), peer, ["Heard", sender, contents])
