"""A worker that fails requests which it had begun, with 503; see claim.txt."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-2"))
from fleet import CannotRun, Channel, Fleet, Worker, answer, config, plain_service, route, run_case  # noqa: E402

FAILED_SHARE = 0.4
CLIENTS = 6
REQUESTS = 100


async def play(add_fleet, record, trouble):
    fleet = Fleet(1)
    add_fleet(fleet)
    await fleet.store.start()
    runs = {}

    async def behave(worker, request):
        runs.setdefault(request["body"], []).append(request["id"])
        await asyncio.sleep(0.03)
        failed = trouble and worker is workers[0] and random.random() < FAILED_SHARE
        record.add(f"worker {worker.id} has run {request['id']} and answers {503 if failed else 200}"
                   + (" without Not-Executed" if failed else ""))
        answer(request, status=503 if failed else 200, body=b"the run failed" if failed else b"done")

    workers = [Worker(fleet.store, "desk", f"i-{i:08x}", behave, slots=6) for i in range(6)]
    for worker in workers:
        await worker.start()
    fleet.store.put("op/config", config(7, [route("order", "/order/", "unsafe", "desk")], [plain_service("desk")]))
    entry = fleet.entries[0]
    entry.start()
    if not await entry.wait_ready():
        raise CannotRun("the entry did not become ready")
    refused = []

    # Clients repeat an unsafe request once, on a new channel, after a promise that it has not run.
    async def client(number):
        for count in range(REQUESTS):
            order = f"order {number}.{count}".encode()
            for attempt in range(2):
                ident = f"{number:04x}{count:08x}{attempt:04x}"
                channel = await Channel.open(entry)
                record.add(f"{ident} sent: {order.decode()}")
                status, headers, _ = await channel.call("POST", "/order/1", ident, order, deadline=3000)
                channel.close()
                record.add(f"{ident} ends: {status}")
                if status in (408, 421, 429, 503) and ident in runs.get(order, []):
                    refused.append((ident, status))
                if status not in (408, 421, 429, 503):
                    break

    await asyncio.gather(*[client(k) for k in range(CLIENTS)])
    twice = [o.decode() for o, ids in runs.items() if len(ids) > 1]
    return bool(refused), [
        f"orders: {CLIENTS * REQUESTS}, requests that have run and were answered with a promise that they have not: {len(refused)}",
        f"orders that therefore ran twice, by a client's new attempt: {len(twice)}",
    ]


# What was sent, answered and run; with TROUBLE=0 the same is done without the disruption.
RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.exit(run_case(RECORD, TROUBLE, play))
