"""Stand-in for the platform's store: range reads, watches and leases, as PROTOCOL.md describes them.

Workers and the operator write through POST /standin/put and /standin/remove, which only the stand-ins use.
"""
import base64
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Store:
    """Items with revisions. Times are in seconds; a lease of 0 never expires."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 1
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/-/kv-range":
                    self.reply(200, store.range(query))
                elif url.path == "/-/kv-watch":
                    self.reply(200, store.watch(query))
                elif url.path == "/-/kv-key":
                    item = store.read(query["key"])
                    self.reply(200 if item else 404, item or {})
                else:
                    self.reply(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if self.path == "/standin/put":
                    store.put(body["key"], body["value"], body.get("lease", 0))
                else:
                    store.remove(body["key"])
                self.reply(200, {})

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                # A caller that left before its answer is no fault.
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def view(self, key):
        item = self.items[key]
        return {"key": key, "value": base64.b64encode(item["value"].encode()).decode(),
                "revision": item["revision"], "made": item["made"], "lease": 0}

    def put(self, key, value, lease=0):
        """Write an item. A registration that differs only in its sequence is renewed without an event."""
        with self.changed:
            known = self.items.get(key)
            until = time.monotonic() + lease if lease else None
            if known and without_sequence(known["value"]) == without_sequence(value):
                known["until"] = until
                return
            self.revision += 1
            self.items[key] = {"value": value, "revision": self.revision,
                               "made": known["made"] if known else self.revision, "until": until}
            self.events.append((self.revision, self.view(key)))
            self.record("store", "put", key=key, revision=self.revision,
                        value=value if key.startswith("servers/") else "version %s" % json.loads(value).get("version"))
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.events.append((self.revision, {"key": key, "revision": self.revision, "gone": True}))
                self.record("store", "gone", key=key, revision=self.revision)
                self.changed.notify_all()

    def read(self, key):
        with self.changed:
            return dict(self.view(key), at=self.revision) if key in self.items else None

    def range(self, query):
        with self.changed:
            prefix, after = query.get("path-prefix", ""), query.get("since-rev", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return {"items": [self.view(k) for k in keys[:500]], "more": len(keys) > 500, "at": self.revision}

    def watch(self, query):
        prefix, since = query.get("path-prefix", ""), int(query["since-rev"])
        end = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        with self.changed:
            while True:
                found = [e for r, e in self.events if r > since and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if found or left <= 0:
                    return {"events": found, "at": self.revision}
                self.changed.wait(left)

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                due = [k for k, i in self.items.items() if i["until"] and i["until"] < now]
            for key in due:
                self.remove(key)


def without_sequence(value):
    try:
        document = json.loads(value)
        document.pop("sequence", None)
        return document
    except ValueError:
        return value
