"""One invoker (64 MB, 256 descriptors) serves eight clients that read 0.3 MB a second and send the next call when they have
read an answer; each has 24 calls open. One answer in sixteen has 230,000 bytes. Eight times a second process is started beside
the first as kit/more/ops/DAYS.md says; SIGTERM goes to the old one as soon as the new one says yes."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from yard import *  # noqa: E402,F403

MEMORY_MB = 64
SOCKETS = 256
CLIENTS = 8
OPEN = 24
LONG = 230000
READ_BYTES, READ_EVERY = 6000, 0.02  # 0.3 MB a second; the pages: 1 MB a second at most
RECEIVE_BUFFER = 65536  # the rest waits on the way, as with a slow network
SECONDS = 50.0


async def case(trouble, record):
    log = ChangeLog()
    await log.start()
    functions = ["%016x" % random.getrandbits(40) for _ in range(6)]
    served = {}  # by ref: when a host answered it
    hosts = [Host("s-%04d" % number, record) for number in range(12)]
    for host in hosts:
        async def work(link, ref, fields, body, host=host):
            await asyncio.sleep(0.08)
            link.open.pop(ref, None)
            body += b"z" * (LONG - len(body)) if int(ref, 16) % 16 == 0 else b""
            served[ref.decode()] = now()
            link.answer(ref, "data", host.load_report(), body)
        host.work = work
        await host.start()
    log.add([host.member() for host in hosts], complete=True)
    platform = Platform(log, MEMORY_MB, SOCKETS)
    try:
        platform.current = platform.launch()
        if not await platform.says_yes(platform.current):
            raise RuntimeError("the invoker did not get ready")
        return await play(trouble, record, platform, functions, served)
    finally:
        platform.stop()


class SlowClient:
    """Reads slowly. `sent` has the calls without an answer: by tag the time when they were sent, the class and the ref."""

    def __init__(self, number, turn):
        self.number, self.turn, self.sent, self.tag, self.buffer, self.words = number, turn, {}, 0, b"", {}

    async def connect(self, address):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.socket.setblocking(False)
        host, port = address.split(":")
        await asyncio.get_running_loop().sock_connect(self.socket, (host, int(port)))

    async def send(self, functions):
        self.tag += 1
        self.turn[0] += 1
        name, limit = ("bin-check", 2000) if self.turn[0] % 3 else ("bin-record", 3000)
        ref = "%015x%x" % (random.getrandbits(60), self.turn[0] % 16)
        fields = "ref=%s,allow=%d,project=redgum-estate,lookup=%s,spec=memory_mb:400;lanes:4" % (
            ref, limit, random.choice(functions))
        await asyncio.get_running_loop().sock_sendall(
            self.socket, array("CALL", str(self.tag), name, fields, b"q" * 300))
        self.sent[self.tag] = (now(), name, ref)

    async def read(self):
        """Reads some bytes. Returns how many answers are whole by them; None at the end of the connection."""
        await asyncio.sleep(READ_EVERY)
        try:
            data = await asyncio.get_running_loop().sock_recv(self.socket, READ_BYTES)
        except OSError:
            return None
        if not data:
            return None
        self.buffer += data
        answers = 0
        while True:
            words, rest = self.parse(self.buffer)
            if words is None:
                return answers
            self.buffer = rest
            self.sent.pop(int(words[0]), None)
            self.words[words[1]] = self.words.get(words[1], 0) + 1
            answers += 1

    @staticmethod
    def parse(data):
        head, _, rest = data.partition(b"\r\n")
        if not _:
            return None, data
        words = []
        for _ in range(int(head[1:])):
            size, mark, rest = rest.partition(b"\r\n")
            if not mark or len(rest) < int(size[1:]) + 2:
                return None, data
            words.append(rest[:int(size[1:])])
            rest = rest[int(size[1:]) + 2:]
        return words, rest


async def play(trouble, record, platform, functions, served):
    end = now() + SECONDS
    words, lost, turn, terms = {}, [], [0], []

    async def client(number):
        while now() < end:
            connection = SlowClient(number, turn)
            connection.words = words
            await connection.connect(platform.address)
            open_calls = 0
            while True:
                try:
                    while open_calls < OPEN and now() < end:
                        await connection.send(functions)
                        open_calls += 1
                except OSError:
                    pass
                if now() >= end and open_calls == 0:
                    break
                answers = await connection.read()
                if answers is None:
                    break
                open_calls -= answers
            # Sent before SIGTERM and served by a host before it: this crosses no close.
            before = [(tag, name) for tag, (when, name, ref) in connection.sent.items()
                      if terms and when < terms[-1] and served.get(ref, 1e18) < terms[-1]]
            if connection.sent:
                record("client %d saw its connection end %.2f s after SIGTERM; without an answer: %d calls, of which sent and "
                       "served before SIGTERM (tag, class): %s"
                       % (number, now() - terms[-1] if terms else 0, len(connection.sent), before))
                lost.extend(before[1:])  # one answer may have been begun; its client can tell
            connection.socket.close()

    async def upgrades():
        for _ in range(8 if trouble else 0):
            await asyncio.sleep(4)
            old, new = platform.current, platform.launch()
            if not await platform.says_yes(new):
                raise RuntimeError("the second process did not say yes")
            told = now()
            record("SIGTERM to the old process; answers so far %s" % words)
            terms.append(told)
            old.send_signal(signal.SIGTERM)
            while old.process.poll() is None and now() - told < 3.7:
                await asyncio.sleep(0.05)
            record("upgrade: the old process ended %.2f s after SIGTERM" % (now() - told))
            old.stop()
            platform.current = new

    await asyncio.gather(upgrades(), *[client(number) for number in range(CLIENTS)])
    record("end: answers %s; lost %d" % (words, len(lost)))
    return not lost


main(case)
