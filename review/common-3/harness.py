"""A small deployment on loopback addresses for the scripts of the third review.

It renders deploy/settings.toml.tmpl like the platform, starts the deployed program as
separate processes, and plays the platform, the operator, the servers and the clients by
the users' pages. Everything that it starts ends with it.
"""

import contextlib
import http.client
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "auburnscale")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.toml.tmpl")
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LONGEST_S = 115  # a script ends by then, with everything that it started
DESCRIPTORS = 8192  # for the clients that a script plays

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configMs": 2000, "downgradeMs": 250, "maxStretchMs": 5000, "strictRevoke": False,
    "revokeMs": 5000, "retryRatio": 0.2, "budgetWindowS": 10, "retrySlack": 52, "requireFence": False, "leaseMs": 3000,
    "thawMs": 300, "usageWindowS": 5, "usageOff": 0.05, "usageLateS": 10, "recoverS": 12, "transitMs": 120,
    "reuseWindowS": 10,
}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


class CannotRun(Exception):
    """The case cannot run on this machine."""


def lookup(scope, name):
    """Returns the value of a dotted name in the innermost scope that has it, or None."""
    if name == ".":
        return scope[-1]
    for table in reversed(scope):
        value = table
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scope):
    """Fills in a template as the page on deployment tells."""
    token = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}|\{\{([\w.@,]+)(\|json)?\}\}", re.S)

    def replace(match):
        kind, name, body, plain, as_json = match.groups()
        if kind:
            value = lookup(scope, name)
            given = value is not None and value is not False
            if kind == "^":
                return "" if given else render(body, scope)
            if not given:
                return ""
            if isinstance(value, list):
                return "".join(render(body, scope + [entry]) for entry in value)
            return render(body, scope)
        value = lookup(scope, plain)
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return token.sub(replace, text)


class Process:
    """One process of the system."""

    def __init__(self, world, name, fields):
        self.world, self.name, self.fields, self.popen = world, name, fields, None
        # The core that the process stays on, as on the users' platform; None for any.
        self.core = None
        self.file = os.path.join(world.folder, name + ".toml")
        self.log = os.path.join(world.folder, name + ".log")

    def start(self):
        with open(TEMPLATE, encoding="utf-8") as source:
            text = render(source.read(), [self.fields])
        with open(self.file, "w", encoding="utf-8") as out:
            out.write(text)
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                [PROGRAM, "serve"], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                preexec_fn=None if self.core is None else lambda: os.sched_setaffinity(0, {self.core}),
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""), "AUBURNSCALE_BOOT": self.file})

    def restart(self):
        self.fields["bootstrap"] = False
        self.start()

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        if self.alive():
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        if self.popen:
            self.popen.wait()

    def alive(self):
        return self.popen is not None and self.popen.poll() is None

    def processor_s(self):
        """Returns the processor time that the process has used."""
        with open("/proc/%d/stat" % self.popen.pid, encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self, field="VmHWM"):
        """Returns the resident memory, the highest so far by default, in MB."""
        try:
            with open("/proc/%d/status" % self.popen.pid, encoding="utf-8") as status:
                for line in status:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None


class World:
    """The deployment, and the record of what was sent, answered and run."""

    def __init__(self, case, cores=3, fronts=1, memory_mb=284, net=None):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/auburnscale is not built")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record_file = open(os.path.join(case, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.net = net or "127.%d.%d" % (40 + os.getpid() % 150, 1 + os.getpid() // 150 % 250)
        self.servers, self.processes, self.closers = [], [], []
        self.version, self.config = 0, None
        control, peer, front, ready, cloud = (self.free_port() for _ in range(5))
        self.cloud = "%s.200:%d" % (self.net, cloud)
        zones = ["zone-a", "zone-b", "zone-c"]
        common = {
            "region": "reg", "zones": {zone: "reg" for zone in zones}, "portRange": [peer, peer + 15],
            "seeds": ["%s.%d:%d" % (self.net, 1 + n, control) for n in range(min(3, cores))], "bootstrap": True,
            "discovery": "register", "entry": "vip", "heartbeatMs": 1200, "configMode": "highest",
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "tenants", "leader"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": dict(BOUNDS),
            "cloud": {"addr": self.cloud, "ratePerS": 50.0, "duties": ["report_usage", "order_targets"], "dutyPerS": 50.0},
        }
        self.cores, self.fronts = [], []
        for n in range(cores):
            ip, name = "%s.%d" % (self.net, 1 + n), "core-%d" % (n + 1)
            self.cores.append(Process(self, name, dict(
                common, node=name, role="control", machineClass="core", serves=["control"], ip=ip, zone=zones[n % 3],
                listen={"control": "%s:%d" % (ip, control)}, countsAsLoss=True, dataDir=os.path.join(self.folder, name),
                limits={"cpuShare": 0.48, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128})))
        for n in range(fronts):
            ip, name = "%s.%d" % (self.net, 31 + n), "front-%d" % (n + 1)
            self.fronts.append(Process(self, name, dict(
                common, node=name, role="entry", machineClass="front", serves=["front"], ip=ip, zone=zones[n % 3],
                listen={"front": "%s:%d" % (ip, front), "ready": "%s:%d" % (ip, ready)}, countsAsLoss=False, dataDir=None,
                limits={"cpuShare": 0.4, "cores": 1, "memoryMb": memory_mb, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0})))
        self.processes = self.cores + self.fronts

    def free_port(self):
        """Returns a port that no address of this machine uses now."""
        for _ in range(200):
            with socket.socket() as probe:
                probe.bind(("0.0.0.0", 0))
                port = probe.getsockname()[1]
            if port + 15 < 65535:
                return port
        raise CannotRun("no free port")

    def note(self, text):
        """Adds a line to record.txt."""
        with self.lock:
            if not self.record_file.closed:
                self.record_file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
                self.record_file.flush()

    def address(self, process):
        host, port = process.fields["listen"]["control" if process in self.cores else "front"].rsplit(":", 1)
        return host, int(port)

    def start(self):
        for process in self.processes:
            process.start()
            self.note("start %s (pid %d)" % (process.name, process.popen.pid))

    def close(self):
        for closer in self.closers:
            with contextlib.suppress(Exception):
                closer()
        for process in self.processes:
            with contextlib.suppress(Exception):
                process.kill()
        self.record_file.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    def call(self, process, method, path, body=None, timeout=1.0):
        """Makes one call to a process that serves control. Returns (None, b"") without a response."""
        host, port = self.address(process)
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"} if body is not None else {})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return None, b""
        finally:
            connection.close()

    def replace(self, config, within=20.0):
        """Sends a configuration until it is acknowledged, as the operator does."""
        self.version += 7
        self.config = dict(config, version=self.version)
        body = json.dumps(self.config).encode()
        end = time.monotonic() + within
        turn = 0
        while time.monotonic() < end:
            core = self.cores[turn % len(self.cores)]
            turn += 1
            if not core.alive():
                continue
            status, _ = self.call(core, "POST", "/Config.Replace", body)
            if status == 200:
                self.note("configuration %d acknowledged by %s" % (self.version, core.name))
                return
            time.sleep(0.2)
        raise CannotRun("no configuration was acknowledged")

    # The platform.

    def start_platform(self, handle=None):
        """Serves the calls of duties; handle(path, headers, body) sees each."""
        host, port = self.cloud.rsplit(":", 1)

        def serve(request):
            if handle:
                handle(request)
            request.answer(200, {"Content-Type": "application/json"}, b"{}")

        self.closers.append(HTTPServer(host, int(port), serve).close)

    # The clients.

    def await_ready(self, process, within=20.0):
        host, port = process.fields["listen"]["ready"].rsplit(":", 1)
        end = time.monotonic() + within
        while time.monotonic() < end:
            if not process.alive():
                raise CannotRun("%s ended while it started" % process.name)
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection = http.client.HTTPConnection(host, int(port), timeout=1)
                connection.request("GET", "/ready")
                status = connection.getresponse().status
                connection.close()
                if status == 200:
                    return
            time.sleep(0.1)
        raise CannotRun("%s is not ready" % process.name)


class Quota:
    """Gives a process its share of one core as a quota: it runs until that is used up, and then not at all for the rest
    of that tenth of a second."""

    PERIOD_S, LOOK_S = 0.1, 0.004

    def __init__(self, process):
        self.process, self.share, self.ended = process, process.fields["limits"]["cpuShare"], False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def used(self):
        # The clock of a process, as clock_getcpuclockid returns it.
        return time.clock_gettime((~self.process.popen.pid << 3) | 2)

    def run(self):
        try:
            while not self.ended:
                period_end, allowed = time.monotonic() + self.PERIOD_S, self.used() + self.share * self.PERIOD_S
                while time.monotonic() < period_end:
                    if self.used() >= allowed:
                        self.process.signal(signal.SIGSTOP)
                        time.sleep(max(0, period_end - time.monotonic()))
                        self.process.signal(signal.SIGCONT)
                        break
                    time.sleep(self.LOOK_S)
        except OSError:
            pass

    def close(self):
        self.ended = True
        self.thread.join(1)


class Request:
    """A request that a stand-in got."""

    def __init__(self, connection, reader, line, headers):
        self.connection, self.reader = connection, reader
        self.method, self.path, _ = (line.split(" ") + ["", ""])[:3]
        self.headers = headers
        self.closed = False
        length = int(headers.get("content-length", "0"))
        self.body = reader.read(length) if length else b""

    def send(self, data):
        self.connection.sendall(data)

    def answer(self, status, headers, body):
        lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
        lines += ["%s: %s" % item for item in headers.items()]
        self.send(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def close(self):
        self.closed = True


class HTTPServer:
    """A stand-in's listener: one thread for each connection, one request at a time."""

    def __init__(self, host, port, handle):
        self.handle, self.ended, self.open = handle, False, set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(1024)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.ended:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while not self.ended:
                line = reader.readline(65536).decode("latin-1").rstrip("\r\n")
                if not line:
                    break
                headers = {}
                while True:
                    text = reader.readline(131072).decode("latin-1").rstrip("\r\n")
                    if not text:
                        break
                    name, _, value = text.partition(":")
                    headers[name.strip().lower()] = value.strip()
                request = Request(connection, reader, line, headers)
                self.handle(request)
                if request.closed:
                    break
        except (OSError, ValueError):
            pass
        finally:
            self.open.discard(connection)
            with contextlib.suppress(OSError):
                reader.close()
            with contextlib.suppress(OSError):
                connection.close()

    def close(self):
        self.ended = True
        self.listener.close()
        for connection in list(self.open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class Server:
    """A server (back end) of the pages: it registers itself and answers requests.

    run(server, request) answers a request that may run here; the default answers at once.
    """

    def __init__(self, world, name, service, host, slots=6, stage="", zone="zone-a", run=None):
        self.world, self.id, self.service, self.slots, self.stage, self.zone = world, name, service, slots, stage, zone
        self.run = run or Server.answer
        self.born, self.seq, self.state, self.orders = int(time.time() * 1000), 0, "ready", 0
        self.ended = False
        self.http = HTTPServer(host, 0, self.handle)
        self.address = "%s:%d" % (host, self.http.port)
        world.servers.append(self)
        world.closers.append(self.close)
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        turn = 0
        while not self.ended:
            self.seq += 1
            message = {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                       "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born}
            if self.stage:
                message.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
            for _ in range(len(self.world.cores)):
                core = self.world.cores[turn % len(self.world.cores)]
                status, _ = self.world.call(core, "POST", "/Instances.Heartbeat/" + self.id, json.dumps(message).encode())
                if status == 200:
                    break
                turn += 1
            time.sleep(0.4 if self.seq < 5 else 1.2)

    def handle(self, request):
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.id:
            request.answer(421, {"X-Not-Executed": "1"}, b"")
        elif request.method == "GET" and request.path == "/report":
            body = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": self.orders,
                    "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 441575, "kvHandles": 0, "born": self.born}
            request.answer(200, {"Content-Type": "application/json"}, json.dumps(body).encode())
        elif request.path == "/health":
            request.answer(200, {"X-Instance-Id": self.id}, b"")
        elif request.method == "POST" and request.path == "/order":
            self.order(request)
        else:
            self.run(self, request)

    def order(self, request):
        self.orders += 1
        self.stage = json.loads(request.body).get("stage", self.stage)
        request.answer(202, {}, b"")

    def heads(self, request, **more):
        """Returns the headers of an answer of this server to the request."""
        return dict({"X-Request-Id": request.headers.get("x-request-id", ""), "X-Server-Stamp": "stamp-" + self.id}, **more)

    def answer(self, request):
        self.world.note("%s runs %s" % (self.id, request.headers.get("x-request-id")))
        request.answer(200, self.heads(request), b"done by " + self.id.encode())

    def close(self):
        self.ended = True
        self.http.close()


def route(name, prefix, kind, service, timeout_ms, attempts=1, **more):
    return dict({"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 150,
                 "priority": 1, "service": service, "attempts": attempts, "noAuth": False, "sessionAffinity": kind == "stream",
                 "resumable": False}, **more)


def configuration(routes, services, tenants=None):
    return {"routes": routes, "services": services, "limits": LIMITS,
            "tenants": tenants or [{"name": "guild", "keys": ["keyofguild0000000000"]}]}


ENGINE = {"slots": 64, "kvCapacity": 441575, "kvBytes": 18432, "linkMbps": 150000.0, "handleTtlS": 5.0, "switchS": 3.0, "models": [{"name": "m"}]}


def ask(address, path, request_id, method="POST", body=b"", headers=None, deadline_ms=2500, key="keyofguild0000000000"):
    """Sends one request as a client. Returns (status, headers, body), or (None, error text, b"")."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=deadline_ms / 1000 + 1)
    sent = {"Host": "desk.example", "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms), "Authorization": "Bearer " + key}
    sent.update(headers or {})
    try:
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
    except (OSError, http.client.HTTPException) as error:
        return None, repr(error), b""
    finally:
        connection.close()


def main(case_file, case):
    """Runs case(world_factory, trouble) and exits with its result."""
    folder = os.path.dirname(os.path.abspath(case_file))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    worlds = []

    def make(**options):
        worlds.append(World(folder, **options))
        return worlds[-1]

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(CANNOT_RUN))
    signal.alarm(LONGEST_S)
    result = CANNOT_RUN
    try:
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY and hard < DESCRIPTORS:
            raise CannotRun("a process may open %d files, %d are needed" % (hard, DESCRIPTORS))
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
        result = case(make, trouble)
    except SystemExit:
        print("the case was ended")
    except CannotRun as error:
        print("the case cannot run: %s" % error)
        for world in worlds:
            world.note("cannot run: %s" % error)
    finally:
        for world in worlds:
            world.close()
    sys.stdout.flush()
    os._exit(result)
