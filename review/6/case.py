"""One invoker with 32 MB. For 30 s, usual clients send 130 calls a second; from the third second on eight bad
clients send well-formed calls whose `lookup` no host knows, the next one as soon as the last is turned away."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from yard import *  # noqa: E402,F403

MEMORY_MB = 32        # the least that the pages give
SOCKETS = 256         # as above
USUAL_RATE = 130.0    # calls a second
BAD_CLIENTS = 8
OPEN_PER_CLIENT = 32  # the most that the protocol allows
SECONDS = 30.0


def held_kb(invoker):
    """What counts as memory: the process's own pages and the files in $TMPDIR; no code, no shared libraries."""
    files = sum(os.path.getsize(os.path.join(folder, name))
                for folder, _, names in os.walk(invoker.tmp) for name in names)
    return invoker.memory_kb("RssAnon") + invoker.memory_kb("RssShmem") + files // 1024


async def case(trouble, record):
    log = ChangeLog()
    await log.start()
    functions = ["%016x" % random.getrandbits(40) for _ in range(40)]
    hosts = [Host("s-%04d" % number, record) for number in range(12)]
    for host in hosts:
        async def work(link, ref, fields, body, host=host):
            if fields["asset"] in functions:
                return await host.serve_call(link, ref, fields, body)
            await asyncio.sleep(0.005)
            link.open.pop(ref, None)
            link.answer(ref, "failed", host.load_report())  # it cannot use this function
        host.work = work
        await host.start()
    log.add([host.member() for host in hosts], complete=True)
    invoker = Invoker(log, settings(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    invoker.start()
    try:
        if not await invoker.ready():
            raise RuntimeError("the invoker did not get ready")
        return await play(trouble, record, invoker, functions)
    finally:
        invoker.stop()


async def play(trouble, record, invoker, functions):
    end = now() + SECONDS
    usual, bad = {}, {}
    killed = None

    def count(words, answer):
        word = answer[0] if answer else "no answer"
        words[word] = words.get(word, 0) + 1

    async def usual_client():
        client, due = Client(invoker.address), now()
        await client.connect()
        while now() < end and killed is None:
            due += 4 / USUAL_RATE
            await asyncio.sleep(max(0.0, due - now()))
            name, limit = random.choice([("bin-check", 2000), ("bin-check", 2000), ("bin-record", 3000)])
            future = client.send(name, limit, random.choice(functions), b"x" * 200)[2]
            future.add_done_callback(lambda done: count(usual, done.result()))

    async def bad_client():
        await asyncio.sleep(3)
        while now() < end and killed is None:
            client = Client(invoker.address)
            try:
                await client.connect()
            except OSError:
                await asyncio.sleep(0.1)
                continue

            async def ask():
                while now() < end and client.ended is None:
                    count(bad, await client.send("bin-record", 3000, "%016x" % random.getrandbits(64), b"")[2])
            await asyncio.gather(*[ask() for _ in range(OPEN_PER_CLIENT)])
            client.close()

    async def platform():
        nonlocal killed
        shown = 0.0
        while now() < end:
            if invoker.process.poll() is not None:
                killed = "it ended by itself with %d" % invoker.process.returncode
                return
            held = held_kb(invoker)
            if now() - shown >= 1:
                shown = now()
                record("holds %d kB; usual answers %s, answers to bad clients %s" % (held, usual, bad))
            if held > MEMORY_MB * 1024:
                killed = "it held %d kB of %d and was killed" % (held, MEMORY_MB * 1024)
                invoker.process.kill()
                return
            await asyncio.sleep(0.1)

    clients = [usual_client() for _ in range(4)] + [bad_client() for _ in range(BAD_CLIENTS if trouble else 0)]
    await asyncio.gather(platform(), *clients)
    await asyncio.sleep(0.5)
    record("end: %s; usual answers %s, answers to bad clients %s" % (killed or "it lives", usual, bad))
    return killed is None


main(case)
