"""Stand-in for a worker, a process of its own. Writes one JSON line for each request that it runs.

usage: worker.py --id ID --service S --zone Z --listen IP:PORT --address IP:PORT --store IP:PORT --log FILE
                 [--events N --gap-ms MS --unframed] [--work-ms MS]

--address is what the worker registers in the store; it differs from --listen where a link lies in between.
"""
import argparse
import http.client
import json
import socket
import threading
import time

HEARTBEAT_S = 1.2


def read_request(stream):
    line = stream.readline()
    if not line.strip():
        return None
    method, uri, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        text = stream.readline()
        if not text:
            return None
        text = text.decode("latin-1").strip()
        if not text:
            break
        name, value = text.split(":", 1)
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return method, uri, headers, body


class Worker:
    def __init__(self, options):
        self.options = options
        self.lock = threading.Lock()
        self.running = {}
        self.log = open(options.log, "a", buffering=1)

    def write(self, what, **more):
        with self.lock:
            self.log.write(json.dumps(dict(t=time.time(), worker=self.options.id, what=what, **more)) + "\n")

    def serve(self):
        host, port = self.options.listen.rsplit(":", 1)
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind((host, int(port)))
        server.listen(128)
        threading.Thread(target=self.beat, daemon=True).start()
        while True:
            channel, _ = server.accept()
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.handle, args=(channel,), daemon=True).start()

    def beat(self):
        sequence = 0
        while True:
            sequence += 1
            o = self.options
            value = {"service": o.service, "address": o.address, "zone": o.zone, "version": "v1", "slots": 16,
                     "state": "ready", "cold-remaining-ms": 0, "sequence": sequence}
            try:
                host, port = o.store.rsplit(":", 1)
                connection = http.client.HTTPConnection(host, int(port), timeout=1)
                connection.request("POST", "/standin/put", json.dumps(
                    {"key": "servers/" + o.id, "value": json.dumps(value), "lease": 3 * HEARTBEAT_S}))
                connection.getresponse().read()
                connection.close()
            except OSError:
                pass
            time.sleep(HEARTBEAT_S)

    def handle(self, channel):
        try:
            with channel, channel.makefile("rb") as stream:
                request = read_request(stream)
                if request:
                    self.answer(channel, *request)
        except (OSError, ValueError):
            pass

    def answer(self, channel, method, uri, headers, body):
        def send(status, head, data=b""):
            channel.sendall(("HTTP/1.1 %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n"
                             % (status, head, len(data))).encode("latin-1") + data)

        if uri == "/health":
            send("200 OK", "Instance-Id: %s\r\n" % self.options.id)
        elif uri == "/-/report":
            send("200 OK", "Content-Type: application/json\r\n", json.dumps(
                {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy-slots": False,
                 "sequence": 1, "num-waiting": 0, "num-running": 0, "kv-used": 0, "kv-total": 90000, "handles": 0,
                 "state": "ready"}).encode())
        elif uri == "/-/kv-move":
            self.move(send, json.loads(body))
        elif uri.startswith("/-/"):
            send("200 OK", "Content-Type: application/json\r\n", b"{}")
        elif headers.get("expect-instance", self.options.id) != self.options.id:
            self.write("not run: another instance is expected", id=headers.get("request-id"))
            send("421 Misdirected Request", "Instance-Id: %s\r\n" % self.options.id)
        else:
            self.write("run", id=headers.get("request-id"), method=method, uri=uri, tenant=headers.get("tenant"),
                       credential=headers.get("credential"), bytes=len(body), copy=headers.get("kv-backup"),
                       goes_on_from=headers.get("kv-from"))
            head = "Request-Id: %s\r\nResponse-Seal: seal.%s\r\n" % (headers.get("request-id"), self.options.id)
            if self.options.events:
                # A copy is taken to be there whenever a run goes on from one.
                first = int(headers["last-event-id"]) + 1 if "last-event-id" in headers else 0
                self.stream(channel, head, headers.get("request-id"), first)
            else:
                time.sleep(self.options.work_ms / 1000)
                send("200 OK", head, b"answer")

    def move(self, send, order):
        run = self.running.get(order["id"])
        self.write("kv-move", id=order["id"], last=bool(order.get("last")), known=bool(run))
        if not run:
            send("404 Not Found", "Content-Type: application/json\r\n", b"{}")
            return
        if order.get("last"):
            run["stop"].set()
        send("200 OK", "Content-Type: application/json\r\n",
             json.dumps({"handle": "h-" + order["id"], "made": run["made"]}).encode())

    def stream(self, channel, head, request_id, first):
        o = self.options
        run = self.running[request_id] = {"stop": threading.Event(), "made": first}
        framing = "Connection: close\r\n" if o.unframed else "Transfer-Encoding: chunked\r\n"
        channel.sendall(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n" % (head, framing)).encode())
        for number in range(first, o.events):
            if run["stop"].is_set():
                return
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            channel.sendall(event if o.unframed else b"%x\r\n%s\r\n" % (len(event), event))
            run["made"] = number + 1
            if number < o.events - 1:
                time.sleep(o.gap_ms / 1000)
        del self.running[request_id]
        self.write("made the last event", id=request_id, event=o.events - 1)
        if not o.unframed:
            channel.sendall(b"0\r\n\r\n")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "zone", "listen", "address", "store", "log"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--gap-ms", type=float, default=100)
    parser.add_argument("--work-ms", type=float, default=50)
    parser.add_argument("--unframed", action="store_true")
    Worker(parser.parse_args()).serve()
