"""Starts the system's entries as deploy/system.toml says, with a stand-in store and stand-in workers."""
import atexit
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from store import Store  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"drain-ms": 2000, "grace-s": 8, "config-apply-ms": 2000, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
          "budget-window-s": 10, "retry-budget-extra": 54}


class CannotRun(Exception):
    """The case could not be run; exit code 2."""


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Fleet:
    def __init__(self, record):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.lock = threading.Lock()
        self.file = open(record, "w", buffering=1)
        self.started = time.time()
        self.processes = []
        self.entries = []
        atexit.register(self.stop)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: sys.exit(2))
        self.store = Store(self.record)
        self.worker_log = os.path.join(self.folder, "workers.log")
        open(self.worker_log, "w").close()

    def record(self, who, what, at=None, **more):
        """Add a line to record.txt; times are in seconds from the start."""
        with self.lock:
            if not self.file.closed:
                self.file.write("%8.3f %s %s %s\n" % ((at or time.time()) - self.started, who, what,
                                                      json.dumps(more) if more else ""))

    def configure(self, version, routes, services, tenants=None):
        """Write a configuration as the operator does; returns the time of the store's confirmation."""
        document = {"version": version, "routes": routes, "services": services,
                    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                               "idle-timeout-ms": 15000}}
        if tenants is not None:
            document["tenants"] = tenants
        self.store.put("op/config", json.dumps(document))
        return time.time()

    def start_worker(self, id, service, listen=None, address=None, store=None, extra=()):
        listen = listen or "127.0.0.1:%d" % free_port()
        command = [sys.executable, os.path.join(os.path.dirname(os.path.abspath(__file__)), "worker.py"), "--id", id,
                   "--service", service, "--zone", "zone-a", "--listen", listen, "--address", address or listen,
                   "--store", store or self.store.address, "--log", self.worker_log, *extra]
        process = subprocess.Popen(command, start_new_session=True)
        self.processes.append(process)
        self.record(id, "started", listen=listen, address=address or listen)
        return process

    def start_entry(self, name):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            run = tomllib.load(file)["roles"]["entry"]["run"]
        with open(os.path.join(ROOT, "deploy/entry.json")) as file:
            template = file.read()
        ports = {n: free_port() for n in ("front", "readiness", "control", "operators")}
        news = free_port(socket.SOCK_DGRAM)
        values = {"{{node-name}}": name, "{{zone}}": "zone-a", "{{listen.front}}": "127.0.0.1:%d" % ports["front"],
                  "{{listen.readiness}}": "127.0.0.1:%d" % ports["readiness"],
                  "{{ip}}:7215": "127.0.0.1:%d" % ports["operators"],
                  "{{ip}}:{{internal-port-range.0}}": "127.0.0.1:%d" % news,
                  "{{platform.address}}": self.store.address}
        text = template
        for gap, value in values.items():
            text = text.replace(gap, value)
        text = re.sub(r"\{\{#seed-nodes\}\}.*\{\{/seed-nodes\}\}", '"127.0.0.1:%d"' % ports["control"], text)
        text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", '{ "name": "zone-a", "region": "region-a" }', text)
        text = re.sub(r"\{\{#bounds.cold-overage\}\}.*\{\{/bounds.cold-overage\}\}", "", text)
        text = re.sub(r"\{\{bounds\.([a-z-]+)\}\}", lambda m: json.dumps(BOUNDS[m.group(1)]), text)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            file.write(text)
        output = open(os.path.join(self.folder, name + ".log"), "w")
        process = subprocess.Popen(run.replace("/etc/laneworks/local.json", path).split(), cwd=ROOT, stdout=output,
                                   stderr=subprocess.STDOUT, start_new_session=True)
        self.processes.append(process)
        entry = {"name": name, "process": process, "front": ports["front"], "readiness": ports["readiness"],
                 "log": output.name}
        self.entries.append(entry)
        self.record(name, "started", front=ports["front"])
        return entry

    def await_ready(self, entry, seconds=30):
        end = time.time() + seconds
        while time.time() < end:
            if entry["process"].poll() is not None:
                break
            try:
                with socket.create_connection(("127.0.0.1", entry["readiness"]), timeout=1) as probe:
                    probe.sendall(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    if probe.recv(64).startswith(b"HTTP/1.1 200"):
                        self.record(entry["name"], "ready")
                        return
            except OSError:
                pass
            time.sleep(0.1)
        with open(entry["log"]) as file:
            self.record(entry["name"], "never ready", log=file.read()[-2000:])
        raise CannotRun(entry["name"] + " did not become ready")

    def runs(self):
        """The lines that the workers wrote so far."""
        with open(self.worker_log) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for line in self.runs() if os.path.exists(self.worker_log) else []:
            self.record(line.pop("worker"), line.pop("what"), at=line.pop("t"), **line)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.file.close()


def read_answer(stream):
    """Read one answer from a buffered stream: status, headers, body, and whether it ended as its framing says."""
    line = stream.readline()
    if not line:
        return None
    status = int(line.split()[1])
    headers = {}
    while True:
        text = stream.readline()
        if not text:
            return status, headers, b"", False
        text = text.decode("latin-1").strip()
        if not text:
            break
        name, value = text.split(":", 1)
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            try:
                size = stream.readline()
                if not size.strip():
                    return status, headers, body, False
                count = int(size.split(b";")[0], 16)
                part = stream.read(count)
                body += part
                if len(part) < count:
                    return status, headers, body, False
                if not stream.readline():
                    return status, headers, body, False
                if count == 0:
                    return status, headers, body, True
            except OSError:
                return status, headers, body, False
    length = int(headers.get("content-length", "0"))
    body = stream.read(length)
    return status, headers, body, len(body) == length


def request(front, method, path, headers, body=b"", timeout=5):
    """Send one request on a channel of its own; returns what read_answer returns, or None."""
    with socket.create_connection(("127.0.0.1", front), timeout=timeout) as channel:
        channel.sendall(head(method, path, dict(headers, **{"Content-Length": str(len(body))})) + body)
        return read_answer(channel.makefile("rb"))


def head(method, path, headers):
    return ("%s %s HTTP/1.1\r\n%s\r\n" % (method, path, "".join("%s: %s\r\n" % h for h in headers.items()))).encode()


def run(record, trouble, play):
    """Run a case and write its record; play returns True if the rule held. Ends with exit code 0, 1 or 2."""
    fleet = None
    try:
        fleet = Fleet(record)
        fleet.record("case", "begins", trouble=trouble)
        held = play(fleet, trouble)
        fleet.record("case", "the rule held" if held else "THE RULE WAS BROKEN")
        code = 0 if held else 1
    except (CannotRun, OSError) as ex:
        print("cannot run: %r" % ex, file=sys.stderr)
        if fleet:
            fleet.record("case", "cannot run: %r" % ex)
        code = 2
    if fleet:
        fleet.stop()
    print("the rule held" if code == 0 else "the rule was broken" if code == 1 else "the case could not run")
    sys.exit(code)
