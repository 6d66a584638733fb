"""Small stand-ins for a review case: change log, hosts, clients and the platform that starts an invoker.

All of them run in one asyncio loop on 127.0.0.1. The invoker is a process of its own, started with the `run`
command of deploy/balancer.toml. Times are Unix times in seconds.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def now():
    return time.time()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_command():
    """The `run` command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run\s*=\s*"(.*)"\s*$', file.read(), re.M).group(1)


def settings(**changes):
    """Settings of a small deployment, named as in WIRE-lotusyard.md."""
    base = {
        "Az": "osborne-park",
        "Balancers": 3,
        "Bounds": {"Cancel": True, "ConnIdle": 15000.0, "ConnectTimeout": 250.0, "CpuUsPerRequest": 0.0,
                   "CpuUsPerS": 116792, "MaxOpen": 23358, "MaxRetryAfter": 500.0, "PeerMessages": False,
                   "Probes": True, "RetryAfter": False, "SecondCopies": False, "SendCap": 4,
                   "StreamsPerConn": 32},
        "Classes": [
            {"Aim": 500.0, "Gain": 1.0, "HardLimit": 2000.0, "KeyScope": "all", "KeyTtl": 5000.0,
             "LateValue": 0.3, "Name": "bin-check", "Semantics": "repeatable", "Stream": False},
            {"Aim": 1000.0, "Gain": 5.0, "HardLimit": 3000.0, "KeyScope": "all", "KeyTtl": 5000.0,
             "LateValue": 0.2, "Name": "bin-record", "Semantics": "once", "Stream": False}],
        "Clients": {"MarksRetry": False},
        "Dcs": ["osborne-park"],
        "FamilyInfo": {"LingerIdle": 9400.0, "LoadFloor": 6.0, "LoadRatio": 0.2, "LoadWindow": 10000.0,
                       "MemoryMbByKind": [3456.0, 3456.0], "NotesPeersInHand": True, "OnMiss": "miss",
                       "OrderTimeout": 10000.0, "Orders": True, "PriceOfIdle": 0.1,
                       "ReportX0": "share of memory that is at work or loading",
                       "ReportX1": "loads under way or waiting", "TellsWarm": False},
        "KindOfService": "warm",
        "Kinds": ["std-2c", "slow-2c"],
        "LoadInfo": {"Fields": ["util", "inflight", "x0", "x1"], "How": "piggyback"},
        "ObjectiveMix": {"Whole": 0.5, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.2},
        "OverShareWorth": 0.2,
        "Prices": {"Connection": 0.0, "CrossZone": 0.0, "Handshake": 0.0, "LateFail": 0.03, "Moves": 0.0,
                   "Origin": 0.1, "Peer": 0.0, "Probe": 0.01, "RegistryMode": 0.0, "Waste": 0.16},
        "Rank": 0,
        "RegistryMode": "push",
        "Rules": {"Cold": 17000.0, "ColdFrom": 0.25, "DrainGrace": 2000.0, "FallMultiple": 2.0,
                  "GraceToAnswer": 16.0, "MustAskIn": 10000.0, "TipAfter": 3000.0},
        "Stages": ["bincheck-fleet"],
        "Tenants": [{"Name": "redgum-estate", "QuotaPerS": 72.0, "Share": 0.67},
                    {"Name": "karri-hill", "QuotaPerS": 35.0, "Share": 0.33}],
        "Tick": 4.0,
        "Tier": 0,
        "Weights": "rough",
        "WorthBy": "request"}
    for path, value in changes.items():
        place = base
        keys = path.split("__")
        for key in keys[:-1]:
            place = place[key]
        place[keys[-1]] = value
    return base


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def __call__(self, text):
        self.file.write("%9.3f %s\n" % (now() - self.start, text))
        self.file.flush()


class ChangeLog:
    """The change log of PROTOCOL-lotusyard.md."""

    def __init__(self):
        self.events = []
        self.connections = set()
        self.silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def add(self, members, complete=False):
        seq = len(self.events) + 1
        self.events.append({"seq": seq, "fleet": {"revision": seq, "complete": complete, "members": members}})

    def known(self):
        return {"seq": len(self.events), "results": list(self.events)}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            line = await reader.readline()
            sent = int(line.split()[1])
            beat = 0.0
            while True:
                while not self.silent and sent < len(self.events):
                    writer.write(json.dumps(self.events[sent]).encode() + b"\n")
                    sent += 1
                if not self.silent and now() - beat >= 1.0:
                    writer.write(b"%d\n" % sent)
                    beat = now()
                await writer.drain()
                await asyncio.sleep(0.02)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class HostLink:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.open = {}
        self.number = 0

    def answer(self, ident, word, fields="-", body=b""):
        if not self.writer.is_closing():
            self.writer.write(b"%s %s %s %d\r\n%s\r\n" % (ident, word.encode(), fields.encode(), len(body), body))

    def reset(self):
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        self.writer.transport.abort()


class Host:
    """A host of PROTOCOL-lotusyard.md. `work` (async) decides what becomes of a call; by default it is served
    after `delay` seconds, whatever its function is (every copy stands loaded)."""

    def __init__(self, ident, record, delay=0.08):
        self.ident, self.record, self.delay = ident, record, delay
        self.work = self.serve_call
        self.health_delay = 0.001
        self.links = set()
        self.loaded = {}
        self.arrivals = []  # (time, ref, fields)

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def member(self, phase="ready", up_since_ms=0):
        return {"id": self.ident, "host_port": "127.0.0.1:%d" % self.port, "locality": "osborne-park",
                "flavor": "std-2c", "cell": 1, "phase": phase, "size": 2, "up_since_ms": up_since_ms}

    async def serve(self, reader, writer):
        link = HostLink(reader, writer)
        self.links.add(link)
        tasks = set()
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    break
                words = line[:-2].split(b" ")
                if words[0] == b"exec":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(part.split("=", 1) for part in words[2].decode().split(","))
                    self.arrivals.append((now(), words[1].decode(), fields))
                    task = asyncio.ensure_future(self.work(link, words[1], fields, body))
                    link.open[words[1]] = task
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                elif words[0] == b"drop":
                    task = link.open.pop(words[1], None)
                    if task is not None:
                        task.cancel()
                elif words[0] in (b"health", b"load"):
                    tasks.add(asyncio.ensure_future(self.health(link, words[1])))
                elif words[0] == b"ensure":
                    fields = dict(part.split("=", 1) for part in words[2].decode().split(","))
                    tasks.add(asyncio.ensure_future(self.ensure(link, words[1], fields)))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.links.discard(link)
            for task in tasks:
                task.cancel()
            writer.close()

    def load_report(self):
        return "l=util:0.20;inflight:1;x0:0.10;x1:0"

    async def health(self, link, tag):
        await asyncio.sleep(self.health_delay)
        link.answer(tag, "well", self.load_report())

    async def ensure(self, link, tag, fields):
        count = int(fields["count"])
        await asyncio.sleep(0.3 if count > self.loaded.get(fields["asset"], 0) else 0.001)
        self.loaded[fields["asset"]] = max(count, self.loaded.get(fields["asset"], 0))
        link.answer(tag, "data", "count=%d" % self.loaded[fields["asset"]])

    async def serve_call(self, link, ref, fields, body):
        await asyncio.sleep(self.delay)
        link.open.pop(ref, None)
        link.answer(ref, "data", self.load_report(), body)

    def close(self):
        self.server.close()
        for link in list(self.links):
            link.writer.transport.abort()


def array(*words):
    out = b"*%d\r\n" % len(words)
    for word in words:
        if isinstance(word, str):
            word = word.encode()
        out += b"$%d\r\n%s\r\n" % (len(word), word)
    return out


class Client:
    """A client's connection. `answers` has (word, fields, body, time) by tag; a second answer is kept too."""

    def __init__(self, address):
        self.host, self.port = address.split(":")
        self.answers, self.waiting = {}, {}
        self.tag = 0
        self.ended = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, int(self.port))
        self.task = asyncio.ensure_future(self.read())

    async def read(self):
        try:
            while True:
                count = int((await self.reader.readexactly(1) + await self.reader.readline())[1:])
                words = []
                for _ in range(count):
                    size = int((await self.reader.readline())[1:])
                    words.append((await self.reader.readexactly(size + 2))[:-2])
                tag = int(words[0])
                self.answers.setdefault(tag, []).append(
                    (words[1].decode(), words[2] if count > 2 else b"", words[3] if count > 3 else b"", now()))
                waiting = self.waiting.pop(tag, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(self.answers[tag][0])
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self.ended = now()
        for waiting in self.waiting.values():
            if not waiting.done():
                waiting.set_result(None)

    def next_tag(self):
        self.tag += 1
        return self.tag

    def send(self, name, allow_ms, lookup, body=b"", project="redgum-estate", extra="", ref=None):
        """Sends a call; returns (tag, ref, future of its answer or None if the connection ended)."""
        tag, ref = self.next_tag(), ref or "%016x" % random.getrandbits(64)
        fields = "ref=%s,allow=%d,project=%s,lookup=%s,spec=memory_mb:400;lanes:4%s" % (
            ref, allow_ms, project, lookup, extra)
        future = asyncio.get_running_loop().create_future()
        self.waiting[tag] = future
        self.writer.write(array("CALL", str(tag), name, fields, body))
        return tag, ref, future

    def cancel(self, tag):
        self.writer.write(array("CANCEL", str(tag)))

    async def check(self):
        tag = self.next_tag()
        future = asyncio.get_running_loop().create_future()
        self.waiting[tag] = future
        self.writer.write(array("CHECK", str(tag), ""))
        return await asyncio.wait_for(future, 2)

    def close(self):
        self.writer.close()


class Invoker:
    """The platform's side of one invoker."""

    def __init__(self, changelog, config, memory_mb=192, sockets=1024, name="n1", tmp=None):
        self.folder = tempfile.mkdtemp(prefix="review2-")
        self.tmp = tmp or os.path.join(self.folder, "tmp")
        os.makedirs(self.tmp, exist_ok=True)
        self.address = "127.0.0.1:%d" % free_port()
        self.console = None
        self.file = os.path.join(self.folder, "config.json")
        self.content = {"name": name, "listen": self.address, "seed": "%016x" % random.getrandbits(64),
                        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                        "changelog": changelog.address, "known": changelog.known(), "settings": config}
        self.name = name
        self.process = None

    def write(self):
        with open(self.file + ".new", "w") as file:
            json.dump(self.content, file)
        os.rename(self.file + ".new", self.file)

    def start(self):
        self.write()
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": self.tmp,
                       "BALANCER_NAME": self.name, "BALANCER_LISTEN": self.address, "BALANCER_CONFIG": self.file}
        if "console" in self.content:
            environment["BALANCER_CONSOLE"] = self.content["console"]
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    async def ready(self, limit=30):
        until = now() + limit
        while now() < until:
            client = Client(self.address)
            try:
                await client.connect()
                answer = await client.check()
                client.close()
                if answer is not None and answer[0] == "UP":
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def memory_kb(self, key="VmRSS"):
        with open("/proc/%d/status" % self.process.pid) as file:
            return int(re.search(key + r":\s+(\d+)", file.read()).group(1))

    def send_signal(self, which):
        if self.process.poll() is None:
            self.process.send_signal(which)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.process is not None:
            self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_text(self):
        with open(os.path.join(self.folder, "log"), errors="replace") as file:
            return file.read()


class Platform:
    """Holds the clients' listening socket; each process inherits it as descriptor 3."""

    def __init__(self, log, memory_mb, sockets, config=None):
        self.log, self.memory_mb, self.sockets, self.config = log, memory_mb, sockets, config or settings()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(512)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.folder = tempfile.mkdtemp(prefix="review2-")
        self.processes = []
        self.current = None

    def launch(self):
        invoker = Invoker(self.log, self.config, memory_mb=self.memory_mb, sockets=self.sockets, tmp=self.folder)
        invoker.address = invoker.content["listen"] = self.address
        invoker.content["console"] = "127.0.0.1:%d" % free_port()
        invoker.write()
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": self.folder, "BALANCER_NAME": "n1",
                       "BALANCER_LISTEN": self.address, "BALANCER_CONFIG": invoker.file, "BALANCER_LISTEN_FD": "3",
                       "BALANCER_CONSOLE": invoker.content["console"]}
        invoker.log = open(os.path.join(invoker.folder, "log"), "ab")
        invoker.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=invoker.log,
            stderr=invoker.log, close_fds=False, preexec_fn=lambda: os.dup2(self.listener.fileno(), 3))
        self.processes.append(invoker)
        return invoker

    async def says_yes(self, invoker):
        until = now() + 6
        while now() < until:
            try:
                reader, writer = await asyncio.open_connection(*invoker.content["console"].split(":"))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: platform\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False

    def stop(self):
        for invoker in self.processes:
            invoker.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case):
    """Runs the coroutine `case(trouble, record)`, which returns True if the rule held. 2: could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(case(trouble, record), 110))
    except Exception as fault:  # noqa: the case could not run
        record("could not run: %r" % fault)
        import traceback
        traceback.print_exc()
        sys.exit(2)
    record("the rule held" if held else "the rule was BROKEN")
    print("the rule held" if held else "the rule was BROKEN")
    sys.exit(0 if held else 1)
