"""Answers with a spoiled chunk size; see claim.txt."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-2"))
from fleet import CannotRun, Channel, Fleet, Worker, config, now, plain_service, route, run_case, seal  # noqa: E402

SPOILED_SHARE = 0.03
REQUESTS = 600
CHUNK_BYTES = 256


async def play(add_fleet, record, trouble):
    fleet = Fleet(1)
    add_fleet(fleet)
    await fleet.store.start()
    bodies, spoiled = {}, {}

    async def behave(worker, request):
        await asyncio.sleep(0.01)
        ident = request["id"]
        body = (f"record of {ident}: ".encode() + random.randbytes(300).hex().encode())[:600]
        bodies[ident] = body
        chunks = [body[i:i + CHUNK_BYTES] for i in range(0, len(body), CHUNK_BYTES)]
        sizes = [b"%x" % len(c) for c in chunks]
        # One wrong byte: another digit in one of the sizes.
        if trouble and worker is not workers[-1] and random.random() < SPOILED_SHARE:
            part = random.randrange(len(sizes))
            at = random.randrange(len(sizes[part]))
            digit = random.choice([d for d in b"0123456789abcdef" if d != sizes[part][at]])
            wrong = sizes[part][:at] + bytes([digit]) + sizes[part][at + 1:]
            spoiled[ident] = f"chunk {part + 1} of {len(sizes)}: size {sizes[part].decode()} sent as {wrong.decode()}"
            sizes[part] = wrong
        writer = request["writer"]
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/plain\r\n"
                     b"Transfer-Encoding: chunked\r\n\r\n" % (ident.encode(), seal(body).encode()))
        for size, chunk in zip(sizes, chunks):
            writer.write(size + b"\r\n" + chunk + b"\r\n")
        writer.write(b"0\r\n\r\n")

    workers = [Worker(fleet.store, "desk", f"i-{i:08x}", behave, slots=6) for i in range(3)]
    for worker in workers:
        await worker.start()
    fleet.store.put("op/config", config(7, [route("lookup", "/lookup/", "unsafe", "desk")], [plain_service("desk")]))
    entry = fleet.entries[0]
    entry.start()
    if not await entry.wait_ready():
        raise CannotRun("the entry did not become ready")
    answers = {}

    async def client(number):
        channel = None
        for count in range(REQUESTS // 6):
            channel = channel or await Channel.open(entry)
            ident = f"c{number:03x}{count:012x}"
            record.add(f"{ident} sent")
            status, headers, body = await channel.call("POST", "/lookup/1", ident, b"caller", deadline=3000)
            answers[ident] = status, headers if status is not None else {}, body
            record.add(f"{ident} ends: {status}, {len(body)} bytes")
            if status is None or headers.get("connection") == "close":
                channel.close()
                channel = None

    await asyncio.gather(*[client(k) for k in range(6)])
    mixed = []
    for ident, (status, headers, body) in answers.items():
        if status == 200 and body != bodies.get(ident):
            mixed.append(ident)
    for worker in workers:
        for arrival in worker.arrivals:
            record.add(f"worker {worker.id} runs {arrival['id']}", arrival["at"])
    summary = [f"requests: {len(answers)}, answered 200: {sum(s == 200 for s, _, _ in answers.values())}, answers spoiled by "
               f"their worker: {len(spoiled)}, successes whose body is not the worker's whole body: {len(mixed)}"]
    for ident in mixed[:20]:
        summary.append(f"{ident}: {spoiled.get(ident)}; the worker's body has {len(bodies[ident])} bytes, the client got 200, "
                       f"Response-Seal {answers[ident][1].get('response-seal')} and {len(answers[ident][2])} bytes")
    return bool(mixed), summary


# What was sent, answered and run; with TROUBLE=0 the same is done without the disruption.
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.exit(run_case(RECORD, TROUBLE, play))
