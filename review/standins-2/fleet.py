"""Stand-ins for the platform, workers and clients, and the processes of the entry, on loopback addresses.

The stand-ins follow PROTOCOL.md. Everything runs in one event loop, apart from the entries, which are processes that are
started with the command of deploy/system.toml.
"""
import asyncio
import base64
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

START = time.monotonic()


def now():
    return time.monotonic() - START


async def read_head(reader):
    """Return the first line and the headers of a message, or None at the end of the channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def free_ip():
    """Return a loopback address on which the port for operators is free."""
    while True:
        ip = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((ip, 7215))
            return ip
        except OSError:
            continue


class Store:
    """The platform's store."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.modes = {}
        self.open = {}
        self.servers = []
        self.calls = []

    async def start(self):
        self.address = await self.door("all")

    async def door(self, name):
        """Open one more address of the store, so that it can turn away those that call there."""
        self.modes[name] = "up"
        server = await asyncio.start_server(lambda r, w: self._serve(name, r, w), self.ip, 0, backlog=512)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def turn(self, name, mode):
        """Serve a door ("up"), or turn its callers away: "busy" (503), "many" (429), "reset" or "silent"."""
        self.modes[name] = mode
        if mode != "up":
            for writer in list(self.open.get(name, ())):
                if mode == "reset":
                    writer.transport.abort()
                elif mode != "silent":
                    writer.close()

    def put(self, key, value):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(), "revision": self.revision,
                "made": made, "lease": 0}
        self.items[key] = item
        self._record(item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._record({"key": key, "revision": self.revision, "gone": True})

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, name, reader, writer):
        self.open.setdefault(name, set()).add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                self.calls.append((now(), name, line))
                if self.modes[name] == "reset":
                    writer.transport.abort()
                    return
                status, body = await self._answer(line.split(" ")[1])
                if self.modes[name] == "silent":
                    await reader.read()
                    return
                if self.modes[name] != "up":
                    status, body = (429 if self.modes[name] == "many" else 503), {}
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.open[name].discard(writer)
            writer.close()

    async def _answer(self, target):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        prefix = query.get("path-prefix", "")
        if parts.path == "/-/kv-key":
            item = self.items.get(query.get("key"))
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if parts.path == "/-/kv-range":
            after = query.get("since-rev", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page, size = [], 0
            for key in keys:
                if len(page) == 500 or (page and size + len(self.items[key]["value"]) > 1_000_000):
                    break
                page.append(self.items[key])
                size += len(self.items[key]["value"])
            return 200, {"items": page, "more": len(page) < len(keys), "at": self.revision}
        if parts.path == "/-/kv-watch":
            since = int(query["since-rev"])
            until = now() + int(query.get("wait-ms", "0")) / 1000
            while True:
                events = [e for e in self.history if e["revision"] > since and e["key"].startswith(prefix)]
                left = until - now()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Worker:
    """A worker. `behave(worker, request)` answers a request that it was given to run."""

    def __init__(self, store, service, ident, behave, slots=64, zone="z1"):
        self.store, self.service, self.id, self.behave = store, service, ident, behave
        self.slots, self.zone = slots, zone
        self.arrivals = []
        self.running = 0
        self.reports = 0
        self.writers = set()

    async def start(self, port=0, listed=True):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        if listed:
            self.list("ready")

    def list(self, state):
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": state, "cold-remaining-ms": 0, "stage": "both",
                 "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": 1}
        self.store.put("servers/" + self.id, entry)

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ")
                body = await read_body(reader, headers)
                if path.startswith("/-/") or path == "/health":
                    await self._control(method, path, body, writer)
                else:
                    request = {"id": headers.get("request-id"), "method": method, "path": path, "headers": headers,
                               "body": body, "at": now(), "reader": reader, "writer": writer}
                    self.arrivals.append(request)
                    if headers.get("expect-instance", self.id) != self.id:
                        request["run"] = False
                        writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nInstance-Id: %s\r\n\r\n"
                                     % self.id.encode())
                    else:
                        request["run"] = True
                        self.running += 1
                        try:
                            await self.behave(self, request)
                        finally:
                            self.running -= 1
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _control(self, method, path, body, writer):
        status, answer = 404, {}
        if path == "/health":
            status = 200
        elif path == "/-/report":
            self.reports += 1
            status, answer = 200, {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                                   "busy-slots": False, "sequence": 2, "num-waiting": 0, "num-running": self.running,
                                   "kv-used": 0, "kv-total": 34545, "handles": 0, "state": "ready", "runs": []}
        data = json.dumps(answer).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                     % (status, len(data)) + data)


def seal(body):
    return "3e1b.07.5a2.%x.0.c9f2a4d1" % len(body)


def answer(request, status=200, body=b"ok", extra=b""):
    head = b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/plain\r\n" % (
        status, request["id"].encode(), seal(body).encode())
    request["writer"].write(head + extra + b"Content-Length: %d\r\n\r\n" % len(body) + body)


class Entry:
    """A process of the entry with settings like those of a small deployment."""

    def __init__(self, fleet, name, ip, zone="z1"):
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.process = None
        self.store_address = None

    def write_settings(self):
        ports = self.fleet.ports
        fields = {
            "node-name": self.name, "zone": self.zone, "ip": self.ip,
            "listen": {"front": f"{self.ip}:{ports[0]}", "readiness": f"{self.ip}:{ports[1]}",
                       "control": f"{self.ip}:{ports[2]}"},
            "internal-port-range": [ports[3], ports[3] + 15],
            "seed-nodes": [f"{e.ip}:{ports[2]}" for e in self.fleet.entries[:3]],
            "platform": {"address": self.store_address or self.fleet.store.address},
            "zones": {z: "r1" for z in sorted({e.zone for e in self.fleet.entries})},
            "bounds": self.fleet.bounds,
        }
        self.settings = os.path.join(self.fleet.folder, self.name + ".json")
        with open(os.path.join(ROOT, "deploy", "entry.json")) as template:
            text = fill(template.read(), fields)
        with open(self.settings, "w") as out:
            out.write(text)

    def start(self):
        self.write_settings()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            run = tomllib.load(deploy)["roles"]["entry"]["run"]
        command = shlex.split(run.replace("/etc/laneworks/local.json", self.settings)
                              .replace("-Djna.tmpdir=/tmp", "-Djna.tmpdir=" + self.fleet.folder))
        self.log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/tmp"),
                                             **({"JAVA_HOME": os.environ["JAVA_HOME"]} if "JAVA_HOME" in os.environ else {}),
                                             "LANG": os.environ.get("LANG", "C"),
                                             "LANEWORKS_NODE_FILE": self.settings})
        self.log.close()

    def signal(self, number):
        self.process.send_signal(number)

    @property
    def front(self):
        return self.ip, self.fleet.ports[0]

    async def is_ready(self, timeout=1.0):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.fleet.ports[1]), timeout)
            try:
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), timeout)
                return b" 200" in line
            finally:
                writer.close()
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=25):
        until = now() + seconds
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


def fill(text, fields):
    """Fill a template as DEPLOY.md tells it, as far as deploy/entry.json uses it."""
    def look(path, scopes):
        for scope in reversed(scopes):
            value = scope
            try:
                for part in path.split("."):
                    value = value[int(part)] if isinstance(value, list) else value[part]
                return value
            except (KeyError, IndexError, TypeError, ValueError):
                continue
        return None

    def render(part, scopes, entry, key, last):
        def block(match):
            value = look(match.group(1), scopes)
            if value is None or value is False:
                return ""
            if isinstance(value, list):
                pairs = list(enumerate(value))
            elif isinstance(value, dict):
                pairs = list(value.items())
            else:
                return render(match.group(2), scopes + [value], value, "", True)
            return "".join(render(match.group(2), scopes + [v], v, k, i == len(pairs) - 1)
                           for i, (k, v) in enumerate(pairs))
        part = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", block, part, flags=re.S)

        def gap(match):
            name = match.group(1)
            if name == ",":
                return "" if last else ","
            if name == ".":
                return str(entry)
            if name == "@":
                return str(key)
            value = look(name, scopes)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([\w.,@-]+)\}\}", gap, part)

    return render(text, [fields], None, "", True)


class Fleet:
    def __init__(self, entries=1, zones=("z1",)):
        self.folder = tempfile.mkdtemp(prefix="laneworks-review-")
        self.store = Store()
        self.bounds = {"drain-ms": 2000, "grace-s": 8, "retry-budget-ratio": 0.2, "budget-window-s": 10,
                       "retry-budget-extra": 56}
        base = random.randint(20000, 28000)
        self.ports = [base, base + 1, base + 2, base + 10]
        self.entries = []
        for i in range(entries):
            self.entries.append(Entry(self, f"front-{i + 1}", free_ip(), zones[i % len(zones)]))
        self.workers = []

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"), errors="replace") as text:
            return text.read()

    def end(self):
        for entry in self.entries:
            if entry.process and entry.process.poll() is None:
                try:
                    entry.process.send_signal(signal.SIGCONT)
                    entry.process.kill()
                    entry.process.wait()
                except ProcessLookupError:
                    pass
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services, limits=None, tenants=None):
    plan = {"version": version, "routes": routes, "services": services,
            "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                                 "idle-timeout-ms": 15000}}
    if tenants is not None:
        plan["tenants"] = tenants
    return plan


def route(name, prefix, kind, service, timeout=1500, aim=300, attempts=1, priority=2, host="a.example", **more):
    return {"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": timeout,
            "target-latency-ms": aim, "priority": priority, "service": service, "max-attempts": attempts,
            "no-auth": False, "session-affinity": False, "stream-resume": False, **more}


def plain_service(name):
    return {"name": name, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": False}


def engine_service(name, kv=34545):
    return {"name": name, "health-path": "/health", "max-connections": 442, "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kv-capacity-tokens": kv, "kv-token-bytes": 18432, "link-mbps": 2700.0,
                       "moves": True, "backups": True, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold-ms": 2000.0,
                       "handle-s": 5.0, "models": [{"name": "m"}]}}


class Record:
    """What was sent, answered and run, in the order of time; written to record.txt of the case."""

    def __init__(self, path):
        self.path = path
        self.lines = []

    def add(self, text, at=None):
        self.lines.append((now() if at is None else at, text))

    def write(self, summary):
        with open(self.path, "w") as out:
            for line in summary:
                out.write(line + "\n")
            out.write("\n")
            for at, text in sorted(self.lines, key=lambda l: l[0]):
                out.write("%8.3f s  %s\n" % (at, text))


class Lag:
    """Pauses of the stand-ins' own event loop, which must not be taken for pauses of an entry."""

    STEP = 0.02

    def __init__(self):
        self.pauses = []
        self.task = asyncio.create_task(self._watch())

    async def _watch(self):
        while True:
            before = now()
            await asyncio.sleep(self.STEP)
            if now() - before > 0.25:
                self.pauses.append((before, now()))

    def seconds(self, since, until):
        return sum(max(0, min(until, e) - max(since, b)) for b, e in self.pauses)


def run_case(path, trouble, play):
    """Play a case and end with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

    `play(fleet_ended, record, trouble)` returns (broken, summary). The record is written to `path`. Whatever happens, all
    processes are ended.
    """
    async def quietly():
        # Handlers of channels that are still open at the end are cancelled.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(play(fleets.append, record, trouble), 110)

    record = Record(path)
    fleets = []
    try:
        broken, summary = asyncio.run(quietly())
    except Exception as cause:  # the case could not run
        print("the case could not run: %r" % cause, file=sys.stderr)
        record.write(["the case could not run: %r" % cause])
        return 2
    finally:
        for fleet in fleets:
            fleet.end()
    verdict = "the rule was broken" if broken else "the rule held"
    record.write(["disruption: " + ("yes" if trouble else "no")] + summary + [verdict])
    print(verdict)
    return 1 if broken else 0


class CannotRun(Exception):
    pass


class Channel:
    """A client's channel."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(entry, timeout=1.0):
        return Channel(*await asyncio.wait_for(asyncio.open_connection(*entry.front), timeout))

    async def call(self, method, path, ident, body=b"", deadline=3000, headers=(), host="a.example", timeout=None):
        """Send a request and return (status, headers, body), or (None, cause, b"")."""
        head = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {ident}", f"Deadline-Ms: {deadline}"]
        head += [f"{n}: {v}" for n, v in headers]
        if body or method == "POST":
            head.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        try:
            return await asyncio.wait_for(self._answer(), timeout or deadline / 1000 + 1.0)
        except asyncio.TimeoutError:
            return None, "no answer", b""
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as cause:
            return None, "closed: " + type(cause).__name__, b""

    async def _answer(self):
        await self.writer.drain()
        line, headers = await read_head(self.reader)
        return int(line.split(" ")[1]), headers, await read_body(self.reader, headers)

    def close(self):
        self.writer.close()

    def reset(self):
        self.writer.transport.abort()
