"""Streams with a spoiled event id; see claim.txt."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-2"))
from fleet import CannotRun, Channel, Fleet, Worker, config, engine_service, now, route, run_case  # noqa: E402

SPOILED_SHARE = 0.03
CLIENTS = 10
STREAMS = 100


def event(number):
    return b"id: %d\ndata: token %d of the summary\n\n" % (number, number)


async def play(add_fleet, record, trouble):
    fleet = Fleet(1)
    add_fleet(fleet)
    await fleet.store.start()
    sent, spoiled = {}, {}

    async def behave(worker, request):
        ident = request["id"]
        events = [event(i) for i in range(random.randint(2, 8))]
        # One wrong byte: another digit in the id of one event.
        if trouble and worker not in workers[:3] and random.random() < SPOILED_SHARE:
            part = random.randrange(len(events))
            digit = random.choice([d for d in range(10) if d != part])
            events[part] = events[part].replace(b"id: %d\n" % part, b"id: %d\n" % digit, 1)
            spoiled[ident] = f"event {part} of 0 to {len(events) - 1}: id sent as {digit}"
        sent[ident] = b"".join(events)
        writer = request["writer"]
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: 3e1b.07.5a2.0.0.c9f2a4d1\r\n"
                     b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" % ident.encode())
        for one in events:
            writer.write(b"%x\r\n%s\r\n" % (len(one), one))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")

    workers = [Worker(fleet.store, "llm", f"i-{i:08x}", behave) for i in range(6)]
    for worker in workers:
        await worker.start()
    fleet.store.put("op/config", config(7, [
        route("summary", "/summary/", "streaming", "llm", timeout=6000, aim=1500, gap_aim_ms=180),
        route("transcript", "/transcript/", "streaming", "llm", timeout=39000, aim=1800, priority=0, gap_aim_ms=180),
    ], [engine_service("llm")]))
    entry = fleet.entries[0]
    entry.start()
    if not await entry.wait_ready():
        raise CannotRun("the entry did not become ready")
    answers = {}

    async def client(number):
        channel = None
        for count in range(STREAMS):
            channel = channel or await Channel.open(entry)
            ident = f"c{number:03x}{count:012x}"
            record.add(f"{ident} sent")
            status, headers, body = await channel.call(
                "POST", "/summary/1", ident, b"prompt", deadline=6000,
                headers=[("Model", "m"), ("Token-Usage", "220,32"), ("Prompt-Prefix", f"5c1e:140,{number}{count:x}:80")])
            answers[ident] = status, body
            record.add(f"{ident} ends: " + (f"{status}, whole, {body.count(b'id: ')} events" if status else f"broken off, {headers}"))
            if status is None or headers.get("connection") == "close":
                channel.close()
                channel = None

    await asyncio.gather(*[client(k) for k in range(CLIENTS)])
    lacking = [i for i, (status, body) in answers.items() if status == 200 and body != sent.get(i)]
    for worker in workers:
        for arrival in worker.arrivals:
            record.add(f"worker {worker.id} runs {arrival['id']}", arrival["at"])
    summary = [f"streams: {len(answers)}, complete: {sum(s == 200 for s, _ in answers.values())}, broken off: "
               f"{sum(s is None for s, _ in answers.values())}, spoiled by their worker: {len(spoiled)}, complete at the client "
               f"but without a piece that the worker sent: {len(lacking)}"]
    for ident in lacking:
        status, body = answers[ident]
        summary.append(f"{ident}: {spoiled.get(ident)}; the worker sent {sent[ident].count(b'id: ')} events and the end, "
                       f"the client got {body.count(b'id: ')} events and the end")
    return bool(lacking), summary


# What was sent, answered and run; with TROUBLE=0 the same is done without the disruption.
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.exit(run_case(RECORD, TROUBLE, play))
