"""A link to one worker that can be cut. What a cut holds up, the end of a channel included, arrives when it heals."""
import socket
import threading


class Link:
    def __init__(self, target, record, name, loses_new=False):
        """With loses_new, channels that are opened during a cut never come up; else they do when it heals."""
        self.loses_new = loses_new
        self.target = target
        self.record = record
        self.name = name
        self.open = threading.Event()
        self.open.set()
        self.opened_while_cut = 0
        self.server = socket.socket()
        self.server.bind(("127.0.0.1", 0))
        self.server.listen(128)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        self.record(self.name, "link cut")
        self.open.clear()

    def heal(self):
        self.record(self.name, "link healed")
        self.open.set()

    def accept(self):
        while True:
            caller, _ = self.server.accept()
            if not self.open.is_set():
                self.opened_while_cut += 1
                if self.loses_new:
                    threading.Thread(target=self.lose, args=(caller,), daemon=True).start()
                    continue
            threading.Thread(target=self.connect, args=(caller,), daemon=True).start()

    def lose(self, caller):
        self.open.wait()
        reset(caller)

    def connect(self, caller):
        self.open.wait()
        try:
            caller_port = caller.getpeername()[1]
            host, port = self.target.rsplit(":", 1)
            worker = socket.create_connection((host, int(port)))
        except OSError:
            reset(caller)
            return
        for channel in (caller, worker):
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(caller, worker, None), daemon=True).start()
        self.pump(worker, caller, caller_port)

    def pump(self, source, sink, caller_port):
        try:
            while True:
                data = source.recv(65536)
                self.open.wait()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    if caller_port:
                        self.record(self.name, "passes the end of a channel on", caller_port=caller_port)
                    return
                sink.sendall(data)
        except OSError:
            self.open.wait()
            reset(sink)
            reset(source)


def reset(channel):
    try:
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        channel.close()
    except OSError:
        pass
