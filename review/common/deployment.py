"""A small deployment on loopback addresses for the cases of the review.

It starts the project's own program as the deploy file says (target/auburnscale serve
with AUBURNSCALE_BOOT) as three control and three entry instances in three failure
domains, and small stand-ins of engines, the operator, the platform and clients that
speak what PROTOCOL.md says. Everything ends with close().
"""

import atexit
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "auburnscale")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.toml.tmpl")
ZONES = ["uy-south-a", "uy-south-b", "uy-south-c"]
HOST = "ficu95.example"
KEY = "3fexd9dnn2ctnfzs989a"
OTHER_KEY = "nu6wsjnbanfqasnmgkcu"
HEARTBEAT_S = 1.2

# The bounds of sites/primor-alloc.toml.
BOUNDS = {
    "contactMs": 3000, "drainMs": 2000, "graceS": 8, "configMs": 2000, "leaseMs": 3000, "usageWindowS": 5,
    "usageLateS": 10, "retryRatio": 0.2, "retrySlack": 58, "budgetWindowS": 10, "strictRevoke": False, "revokeMs": 5000,
}


class CannotRun(Exception):
    """The case cannot run on this machine."""


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.time()
        self.mutex = threading.Lock()

    def write(self, text):
        with self.mutex:
            self.file.write("%8.3f  %s\n" % (time.time() - self.start, text))
            self.file.flush()


def render(template, fields):
    """Fills in the part of the template language that the settings template uses."""

    def lookup(scope, name):
        if name == ".":
            return scope[0]
        for level in scope:
            value = level
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def fill(text, scope):
        def section(match):
            value = lookup(scope, match.group(1))
            if not value:
                return ""
            entries = value if isinstance(value, list) else [value if isinstance(value, dict) else None]
            return "".join(fill(match.group(2), scope if e is None else [e] + scope) for e in entries)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

        def value(match):
            found = lookup(scope, match.group(1))
            if match.group(2):
                return json.dumps(found)
            return "" if found is None else str(found).lower() if isinstance(found, bool) else str(found)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)

    return fill(template, [fields])


def recv_exact(stream, length):
    data = stream.read(length)
    if len(data) < length:
        raise ConnectionError("the connection ended early")
    return data


def read_message(stream):
    """Reads an HTTP message: its first line, headers and body, or None at the end."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = stream.readline()
        if not field:
            raise ConnectionError("the connection ended inside a header")
        if field in (b"\r\n", b"\n"):
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


def read_body(stream, headers, until_close):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = stream.readline()
            if not size:
                raise ConnectionError("the connection ended inside a body")
            size = int(size.split(b";")[0], 16)
            chunk = recv_exact(stream, size)
            if recv_exact(stream, 2) != b"\r\n":
                raise ConnectionError("a chunk ends wrongly")
            if size == 0:
                return body
            body += chunk
    if "content-length" in headers:
        return recv_exact(stream, int(headers["content-length"]))
    return stream.read() if until_close else b""


class Answer:
    """What a client got: the status, the headers, the body and whether it is complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = 0, {}, b"", False, None

    def __str__(self):
        if self.error:
            return "status %s, %s" % (self.status, self.error)
        return "status %d, stamp %s, %r" % (self.status, self.headers.get("x-server-stamp"), self.body[:120])


class PartialReader:
    """Keeps what of a body has arrived, also if the body does not end well."""

    def __init__(self, stream):
        self.stream, self.seen = stream, b""

    def read(self, *length):
        data = self.stream.read(*length)
        self.seen += data
        return data

    def readline(self):
        return self.stream.readline()


def read_answer(stream):
    answer = Answer()
    try:
        message = read_message(stream)
        if message is None:
            answer.error = "closed without an answer"
            return answer
        answer.status, answer.headers = int(message[0].split()[1]), message[1]
        partial = PartialReader(stream)
        try:
            answer.body = read_body(partial, answer.headers, True)
            answer.complete = True
        except (OSError, ValueError) as e:
            answer.body, answer.error = partial.seen, "broken off: %s" % e
    except (OSError, ValueError, IndexError) as e:
        answer.error = str(e) or type(e).__name__
    return answer


def call(address, data, timeout=5.0, source=None):
    """Sends the bytes over a new connection and reads one answer."""
    answer = Answer()
    try:
        connection = socket.create_connection(split(address), timeout=timeout, source_address=source)
    except OSError as e:
        answer.error = "connect: %s" % e
        return answer
    with connection:
        try:
            connection.sendall(data)
        except OSError as e:
            answer.error = "send: %s" % e
            return answer
        return read_answer(connection.makefile("rb"))


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def post(address, path, document, timeout=1.0):
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    head = "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % (path, address, len(body))
    return call(address, head.encode("latin-1") + body, timeout)


class Engine:
    """A sound server of a service. It runs what it gets and records it."""

    def __init__(self, deployment, name, service, zone, ip, port, stage="", version="v1", slots=16):
        self.deployment, self.id, self.service, self.zone = deployment, name, service, zone
        self.address, self.stage, self.version, self.slots = "%s:%d" % (ip, port), stage, version, slots
        self.born, self.seq, self.state = int(time.time() * 1000), 0, "ready"
        self.beating, self.open, self.orders, self.active = True, True, 0, 0
        self.work_s, self.answer, self.places = 0.02, None, threading.BoundedSemaphore(slots)
        self.arrivals, self.runs = [], []
        self.mutex = threading.Lock()
        self.connections = set()
        self.listener = socket.create_server((ip, port))
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat_loop, daemon=True).start()

    # Discovery.

    def heartbeat(self, **changes):
        self.seq += 1
        body = {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": self.version, "slots": self.slots, "state": self.state,
            "coldLeftMs": 0, "seq": self.seq, "born": self.born,
        }
        if self.stage:
            body.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        body.update(changes)
        return body

    def beat(self, control):
        return post(control, "/Instances.Heartbeat/" + self.id, self.heartbeat()).status == 200

    def beat_loop(self):
        at = random.randrange(3)
        while self.open:
            if self.beating:
                for n in range(3):
                    if self.beat(self.deployment.controls[(at + n) % 3].operators):
                        break
            time.sleep(HEARTBEAT_S)

    def crash(self):
        """Ends the server without a word: new connections are refused. What it runs sees open."""
        self.open = self.beating = False
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def end(self):
        self.open = False
        self.listener.close()
        for connection in list(self.connections):
            connection.close()

    # Requests.

    def accept(self):
        while self.open:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                message = read_message(stream)
                if message is None:
                    return
                body = read_body(stream, message[1], False)
                method, path, _ = message[0].split(" ", 2)
                self.handle(connection, method, path, message[1], body)
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def reply(self, connection, status, headers, body):
        lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)] + ["%s: %s" % h for h in headers.items()]
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)

    def stamp(self, headers):
        return {"X-Request-Id": headers.get("x-request-id", ""), "X-Server-Stamp": "stamp-" + self.id, "X-Server-Load": "%d,%d,%d" % (min(self.active, self.slots), max(0, self.active - self.slots), self.slots)}

    def handle(self, connection, method, path, headers, body):
        at, request = time.time(), headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            self.reply(connection, 421, {"X-Request-Id": request, "X-Instance-Id": self.id, "X-Not-Executed": "1"}, b"")
            return
        if path == "/health":
            self.reply(connection, 200 if self.state == "ready" else 503, {"X-Instance-Id": self.id}, b"")
            return
        if path == "/report":
            report = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": self.orders, "queued": 0, "active": self.active, "kvUsed": 0, "kvTotal": 90000, "kvHandles": 0, "born": self.born}
            self.reply(connection, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
            return
        if path == "/order":
            self.order(connection, json.loads(body))
            return
        if path.startswith("/kv-handle/"):
            self.reply(connection, 200, {}, b"")
            return
        self.arrivals.append((at, request, method, path, dict(headers), body))
        self.deployment.record.write("engine %s (%s): %s reaches it: %s %s, body %d B" % (self.id, self.service, request, method, path, len(body)))
        if not request:
            self.reply(connection, 400, {"X-Not-Executed": "1"}, b"")
            return
        if headers.get("x-stage") == "prefill":
            if self.stage != "prefill":
                self.reply(connection, 421, {"X-Request-Id": request, "X-Instance-Id": self.id, "X-Not-Executed": "1"}, b"")
                return
            handle = {"kvHandle": "%012x" % random.getrandbits(48), "tokens": 100, "version": 1}
            self.reply(connection, 200, dict(self.stamp(headers), **{"Content-Type": "application/json"}), json.dumps(handle).encode())
            return
        if self.stage == "prefill":
            self.reply(connection, 421, {"X-Request-Id": request, "X-Instance-Id": self.id, "X-Not-Executed": "1"}, b"")
            return
        with self.mutex:
            self.active += 1
        try:
            with self.places:
                self.runs.append((time.time(), request, method, path, dict(headers), body))
                self.deployment.record.write("engine %s (%s): runs %s" % (self.id, self.service, request))
                if self.answer:
                    self.answer(self, connection, method, path, headers, body)
                else:
                    time.sleep(self.work_s)
                    self.reply(connection, 200, self.stamp(headers), b"answer of %s to %s" % (self.id.encode(), request.encode()))
        finally:
            with self.mutex:
                self.active -= 1

    def order(self, connection, order):
        if order.get("precondition", self.orders) != self.orders:
            self.reply(connection, 409, {}, b"{}")
            return
        self.orders += 1
        self.stage = order.get("stage", self.stage)
        self.deployment.record.write("engine %s: order %s" % (self.id, order))
        self.reply(connection, 202, {}, b"{}")


def reset(connection):
    """Ends the connection with a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Platform:
    """The platform's API: it accepts usage reports and orders for engines."""

    def __init__(self, deployment, ip, port):
        self.deployment, self.address, self.calls = deployment, "%s:%d" % (ip, port), []
        self.listener = socket.create_server((ip, port))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            try:
                stream = connection.makefile("rb")
                line, headers = read_message(stream)
                body = read_body(stream, headers, False)
                self.calls.append((time.time(), line.split()[1], headers.get("x-lease-holder"), headers.get("x-fencing-token"), body))
                self.deployment.record.write("platform: %s by %s, token %s: %s" % (line.split()[1], headers.get("x-lease-holder"), headers.get("x-fencing-token"), body.decode()))
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
            except (OSError, TypeError, ValueError):
                pass


class Instance:
    """One process of the system."""

    def __init__(self, deployment, name, zone, ip, control):
        self.deployment, self.name, self.zone, self.ip, self.control = deployment, name, zone, ip, control
        d = deployment
        self.operators = "%s:%d" % (ip, d.operator_port)
        self.front, self.ready_address = "%s:%d" % (ip, d.front_port), "%s:%d" % (ip, d.ready_port)
        self.folder = os.path.join(d.folder, name)
        self.log = os.path.join(d.folder, name + ".log")
        self.process = None

    def fields(self, bootstrap):
        d = self.deployment
        listen = {"control": self.operators} if self.control else {"front": self.front, "ready": self.ready_address}
        return {
            "node": self.name, "zone": self.zone, "ip": self.ip, "portRange": [d.peer_port, d.metrics_port], "seeds": d.seeds, "bootstrap": bootstrap,
            "listen": listen, "dataDir": self.folder if self.control else None, "limits": {"memoryMb": 280, "maxFds": 4096},
            "faultTolerance": {"machines": 1}, "heartbeatMs": 1200, "bounds": d.bounds,
            "cloud": {"addr": d.platform.address, "duties": ["report_usage", "order_targets"]},
        }

    def start(self, bootstrap=False):
        settings = self.folder + ".toml"
        with open(TEMPLATE, encoding="utf-8") as f:
            text = render(f.read(), self.fields(bootstrap))
        with open(settings, "w", encoding="utf-8") as f:
            f.write(text)
        os.makedirs(self.folder, exist_ok=True)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([PROGRAM, "serve"], cwd=ROOT, env={"AUBURNSCALE_BOOT": settings, "PATH": os.environ["PATH"]}, stdout=log, stderr=log)
        self.deployment.record.write("%s starts" % self.name)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.deployment.record.write("%s is killed" % self.name)
        self.process.wait()

    def ready(self):
        return call(self.ready_address, b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1.0).status == 200


class Deployment:
    """Three control and three entry instances with their stand-ins."""

    def __init__(self, record, bounds=None):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("%s is not built" % PROGRAM)
        self.record, self.bounds = record, dict(BOUNDS, **(bounds or {}))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = "127.%d.%d" % (random.randrange(16, 250), random.randrange(1, 250))
        self.peer_port, self.metrics_port, self.operator_port, self.front_port, self.ready_port = self.free_ports(5)
        self.seeds = ["%s.%d:%d" % (self.net, n, self.operator_port) for n in (1, 2, 3)]
        self.engines, self.version, self.ids = [], 0, random.getrandbits(24)
        self.platform = Platform(self, self.net + ".90", self.free_ports(1)[0])
        self.controls = [Instance(self, "core-%s-1" % z, z, "%s.%d" % (self.net, n + 1), True) for n, z in enumerate(ZONES)]
        self.entries = [Instance(self, "front-%s-1" % z, z, "%s.%d" % (self.net, n + 11), False) for n, z in enumerate(ZONES)]
        atexit.register(self.close)
        signal.signal(signal.SIGTERM, lambda *_: os._exit(self.close() or 2))

    def free_ports(self, count):
        sockets = [socket.socket() for _ in range(count)]
        for s in sockets:
            s.bind(("127.0.0.1", 0))
        ports = [s.getsockname()[1] for s in sockets]
        for s in sockets:
            s.close()
        return ports

    def start(self):
        for instance in self.controls + self.entries:
            instance.start(bootstrap=True)

    def add_engine(self, name, service, zone, at=None, **options):
        """Starts a server, at an address of its own or at that of one that has ended."""
        ip, port = split(at) if at else ("%s.%d" % (self.net, 100 + len(self.engines)), self.free_ports(1)[0])
        engine = Engine(self, name, service, zone, ip, port, **options)
        self.engines.append(engine)
        return engine

    def replace(self, routes, services, tenants=None, attempts_s=20.0):
        """Sends a configuration until it is acknowledged, as the operator does."""
        self.version += random.randrange(1, 5)
        document = {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants or [{"name": "hule930", "keys": [KEY], "priority": 1}, {"name": "fida11", "keys": [OTHER_KEY], "priority": 1}],
        }
        end, n = time.time() + attempts_s, random.randrange(3)
        while time.time() < end:
            n += 1
            answer = post(self.controls[n % 3].operators, "/Config.Replace", document)
            self.record.write("operator: version %d to %s: %s" % (self.version, self.controls[n % 3].name, answer))
            if answer.status == 200:
                return self.version
            time.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    def await_ready(self, timeout=30.0):
        end = time.time() + timeout
        while time.time() < end:
            if all(e.ready() for e in self.entries):
                return
            time.sleep(0.1)
        raise CannotRun("the entry instances did not become ready")

    def new_id(self):
        self.ids += 1
        return "%016x" % (self.ids * 0x9e3779b97f4a7c15 & (1 << 64) - 1)

    def request(self, entry, method, path, request_id=None, key=KEY, headers=None, body=b"", deadline_ms=2500, quiet=False):
        """Sends a request over a new connection as a client does."""
        request_id = request_id or self.new_id()
        data = encode(method, path, request_id, key, headers, body, deadline_ms)
        if not quiet:
            self.record.write("client: %s %s %s to %s" % (request_id, method, path, entry.name))
        answer = call(entry.front, data, deadline_ms / 1000 + 1)
        if not quiet:
            self.record.write("client: %s gets %s" % (request_id, answer))
        answer.id = request_id
        return answer

    def close(self):
        for instance in self.controls + self.entries:
            if instance.process and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        for engine in self.engines:
            engine.end()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def encode(method, path, request_id, key=KEY, headers=None, body=b"", deadline_ms=2500):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST, "X-Request-Id: " + request_id, "X-Deadline-Ms: %d" % deadline_ms]
    if key:
        lines.append("Authorization: Bearer " + key)
    for name, value in (headers or {}).items():
        lines.append("%s: %s" % (name, value))
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def route(name, prefix, kind, service, attempts=1, timeout_ms=3000, **more):
    return dict({
        "name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 500, "priority": 1, "service": service,
        "attempts": attempts, "noAuth": False, "sessionAffinity": kind == "stream", "resumable": False, "targetGapMs": 250,
    }, **more)


def plain_service(name):
    return {"name": name, "health": "/health", "maxConns": 110, "protocol": "h1", "tls": False}


def engine_service(name):
    return dict(plain_service(name), maxConns=370, engine={
        "slots": 64, "kvCapacity": 632734, "kvBytes": 18432, "linkMbps": 240000.0, "moves": True, "backups": True, "stride": 9, "most": 12,
        "handleTtlS": 5.0, "switchS": 3.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": [{"name": "m"}],
    })


def main(folder, scenario):
    """Runs the scenario, which returns the breaks of the rule, and exits as the review's scripts do."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("begins, %s the disruption" % ("with" if trouble else "without"))
    deployment, code = None, 2
    try:
        deployment = Deployment(record)
        breaks = scenario(deployment, trouble)
        code = 1 if breaks else 0
        for line in breaks:
            record.write("BROKEN: " + line)
            print("BROKEN:", line)
        record.write("the rule was broken" if breaks else "the rule held")
        print("the rule was broken" if breaks else "the rule held")
    except BrokenPipeError:
        pass
    except Exception as e:  # Whatever else goes wrong is no break of the rule.
        code = 2
        record.write("the case could not run: %r" % e)
        print("the case could not run: %r" % e)
    if deployment:
        deployment.close()
    sys.stdout.flush()
    os._exit(code)
