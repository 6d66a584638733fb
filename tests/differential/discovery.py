"""Simulated discovery: cached, full and delta lists, late or failed, pushed or on demand."""

from settings import chance

DELTA, CACHED, FAILED, FULL = 1, 2, 3, 4
PAGES = 16


class Discovery:
    def __init__(self, stream):
        self.stream = stream
        self.rng = stream.rng
        self.on_demand = stream.site.env["RegistryMode"] == "ask"
        self.generation = 0
        self.page = 0
        self.subscribed = set()

    def deliver_list(self, rank, kind, rows):
        """Delivers a page with the rows, then the event that refers to it."""
        page = self.page
        self.page = (self.page + 1) % PAGES
        self.stream.deliver(rank, ["Catalog", page, rows])
        self.stream.deliver(rank, ["Discovery", self.generation, kind, page])

    def all_rows(self):
        return [host.row() for host in self.stream.fleet.listed()]

    def start(self, rank):
        """Delivers the last list of the instance, which may lack hosts and show old states."""
        rows = self.all_rows()
        if chance(self.rng, 0.3):
            rows = [row for row in rows if chance(self.rng, 0.8)]
        self.deliver_list(rank, CACHED, rows)
        if not self.on_demand:
            self.after(self.rng.uniform(0, 200), rank, lambda: self.deliver_list(rank, FULL, self.all_rows()))

    def stop(self, rank):
        self.subscribed.discard(rank)

    def after(self, delay, rank, action):
        incarnation = self.stream.incarnation[rank]

        def run_if_current():
            if self.stream.incarnation[rank] == incarnation:
                action()

        self.stream.at(delay, run_if_current)

    def subscribe(self, rank, enable):
        if enable:
            self.subscribed.add(rank)
        else:
            self.subscribed.discard(rank)
        self.after(self.rng.uniform(1, 100), rank, lambda: self.answer_subscription(rank))

    def answer_subscription(self, rank):
        if chance(self.rng, 0.15):
            self.subscribed.discard(rank)
            self.stream.deliver(rank, ["Discovery", self.generation, FAILED, None])
        else:
            self.deliver_list(rank, self.rng.choice([DELTA, FULL]), self.all_rows())

    def send_changes(self, changed):
        if not changed:
            return
        self.generation += 1
        rows = [host.row() for host in changed]
        for rank in range(self.stream.site.routers):
            if not self.stream.calls.is_running(rank) or (self.on_demand and rank not in self.subscribed):
                continue
            delay = self.rng.uniform(0, 50)
            if chance(self.rng, 0.1):
                self.after(delay, rank, lambda rank=rank: self.deliver_list(rank, FULL, self.all_rows()))
            else:
                self.after(delay, rank, lambda rank=rank: self.deliver_list(rank, DELTA, rows))
