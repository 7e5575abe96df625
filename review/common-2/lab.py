"""A small deployment of the project's own programs on loopback addresses, with stand-ins for engines, the
operator and clients. Used by the run.sh of the cases 6 and later. Only the standard library of Python is used."""
import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "auburnscale")
KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"
HOST = "ficu95.example"
ZONES = ["uy-south-a", "uy-south-b", "uy-south-c"]
# The bounds of kit/more/system/sites/primor-alloc.toml, as the template of the deploy file renders them.
SETTINGS = """instance = "{name}"
failure_domain = "{zone}"

[fleet]
address = "{ip}"
peer_port = {peer}
seeds = {seeds}
found = {found}
metrics = "{ip}:{metrics}"
{listen}memory_mb = {memory}
descriptors = {descriptors}
losses = 1
announce = "1200ms"
contact = "3000ms"
drain = "2000ms"
grace = "8s"
effect = "2000ms"
lease = "3000ms"
usage_window = "5s"
usage_late = "10s"
retry_ratio = 0.2
retry_slack = 58
retry_window = "10s"
key_life = "5000ms"
{platform}duties = [{duties}]
"""


def now_ms():
    return int(time.time() * 1000)


def unused_block():
    """Returns the first two octets after 127 of a block of loopback addresses for this run."""
    return "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def __call__(self, text, *args):
        line = "%8.3f %s" % (time.monotonic() - self.began, text % args if args else text)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)

    def quiet(self, text, *args):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text % args if args else text))


class Message:
    """A request or response that was read from a connection."""

    def __init__(self, line, headers, body, raw_headers):
        self.line, self.headers, self.body, self.raw_headers = line, headers, body, raw_headers

    def get(self, name):
        return self.headers.get(name.lower(), "")

    @property
    def status(self):
        return int(self.line.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers, raw = {}, []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
        raw.append((name, value.strip()))
    return lines[0], headers, raw


async def read_message(reader, method=""):
    line, headers, raw = await read_head(reader)
    body = b""
    response = line.startswith("HTTP/")
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif "content-length" in headers:
        if not (response and method == "HEAD"):
            body = await reader.readexactly(int(headers["content-length"]))
    elif response and int(line.split(" ")[1]) not in (204, 304):
        body = await reader.read(-1)
    return Message(line, headers, body, raw)


def response_bytes(status, headers, body=b""):
    reason = {200: "OK", 400: "Bad Request", 404: "Not Found", 421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
    lines = ["HTTP/1.1 %d %s" % (status, reason)] + ["%s: %s" % h for h in headers] + ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def call(address, method, path, headers=(), body=b"", timeout=5.0, source=None):
    """Makes one call on a connection of its own and returns the response."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        try:
            lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % h for h in headers]
            if not any(n.lower() == "host" for n, _ in headers):
                lines.append("Host: " + address)
            if body or method in ("POST", "PUT", "PATCH"):
                lines.append("Content-Length: %d" % len(body))
            writer.write("\r\n".join(lines + ["", ""]).encode("latin-1") + body)
            await writer.drain()
            return await read_message(reader, method)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Engine:
    """A stand-in engine or server of a service. It does what the pages say of a sound one. serve(engine, message,
    reader, writer) may be replaced; it returns False to end the connection."""

    def __init__(self, lab, service, zone, stage=None, slots=64):
        self.lab, self.service, self.zone, self.stage, self.slots = lab, service, zone, stage, slots
        self.ip = lab.next_ip()
        self.address = self.ip + ":8080"
        self.start_anew()
        self.runs = []
        self.serve = Engine.serve_request
        self.silent = False
        self.writers = set()

    def start_anew(self, id=None):
        self.id = id or "i-%08x" % random.getrandbits(32)
        self.born = now_ms()
        self.seq = 0
        self.state = "ready"
        self.running = 0
        self.stamp = "%04x" % random.getrandbits(16)

    async def listen(self):
        self.server = await asyncio.start_server(self.handle, self.ip, 8080, limit=1 << 20, backlog=1024)

    async def crash(self, down_s):
        """Ends at once with all connections, and starts again after the time, with a new id and nothing of before."""
        self.lab.record("engine %s crashes", self.id)
        self.silent = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.start_anew()
        await self.listen()
        self.silent = False
        await self.beat_once()

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not await self.answer(message, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, message, reader, writer):
        method, target, _ = message.line.split(" ", 2)
        path = target.split("?")[0]
        echo = [("X-Request-Id", message.get("X-Request-Id"))] if message.get("X-Request-Id") else []
        expected = message.get("X-Expect-Instance")
        if expected and expected != self.id:
            writer.write(response_bytes(421, echo + [("X-Instance-Id", self.id)]))
        elif path == "/health":
            writer.write(response_bytes(200, [("X-Instance-Id", self.id), ("X-Server-Load", "%d,0,%d" % (self.running, self.slots))]))
        elif path == "/report":
            writer.write(response_bytes(200, [("Content-Type", "application/json")], json.dumps({
                "stage": self.stage or "decode", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0, "queued": 0,
                "active": self.running, "kvUsed": 0, "kvTotal": 632734, "kvHandles": 0, "born": self.born}).encode()))
        elif path == "/order":
            writer.write(response_bytes(200, []))
        elif path.startswith("/kv-handle/"):
            writer.write(response_bytes(200, []))
        elif not message.get("X-Request-Id"):
            writer.write(response_bytes(400, [("X-Not-Executed", "1")]))
        elif message.get("X-Stage") == "prefill":
            writer.write(response_bytes(200, echo + [("X-Server-Stamp", self.stamp), ("Content-Type", "application/json")],
                                        json.dumps({"kvHandle": "%012x" % random.getrandbits(48), "tokens": 1, "version": 1}).encode()))
        else:
            self.running += 1
            try:
                return await self.serve(self, message, reader, writer)
            finally:
                self.running -= 1
        await writer.drain()
        return True

    def record_run(self, message):
        method, target, _ = message.line.split(" ", 2)
        self.runs.append((message.get("X-Request-Id"), method, target, message))
        self.lab.record.quiet("run at %s: %s %s id=%s body=%d", self.id, method, target, message.get("X-Request-Id"), len(message.body))

    async def serve_request(self, message, reader, writer):
        """Runs a plain request: the body says what was run."""
        self.record_run(message)
        await asyncio.sleep(0.01)
        body = ("done %s\n" % message.get("X-Request-Id")).encode()
        writer.write(response_bytes(200, [("X-Request-Id", message.get("X-Request-Id")), ("X-Server-Stamp", "%s.%s" % (self.stamp, message.get("X-Request-Id")[:8])),
                                          ("X-Server-Load", "%d,0,%d" % (self.running, self.slots))], body))
        await writer.drain()
        return True

    async def beat(self):
        """Sends heartbeats about every heartbeatMs, to one control instance after the other until one acknowledges."""
        while True:
            if not self.silent:
                await self.beat_once()
            await asyncio.sleep(1.2)

    async def beat_once(self):
        self.seq += 1
        body = {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                "born": self.born}
        if self.stage:
            body.update(stage=self.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        for address in random.sample(self.lab.operators, len(self.lab.operators)):
            try:
                response = await call(address, "POST", "/Instances.Heartbeat/" + self.id, [("Content-Type", "application/json")], json.dumps(body).encode(), timeout=1)
                if 200 <= response.status < 300:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
        return False


class Lab:
    """A deployment: control instances, entry instances and engines."""

    def __init__(self, folder, cores=3, fronts=2, memory=284, descriptors=4100):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="review.")
        self.block = unused_block()
        self.ips = 0
        self.core_ips = [self.next_ip() for _ in range(cores)]
        self.front_ips = [self.next_ip() for _ in range(fronts)]
        self.operators = [ip + ":8367" for ip in self.core_ips]
        self.fronts = [ip + ":8368" for ip in self.front_ips]
        self.ready = [ip + ":8369" for ip in self.front_ips]
        self.memory, self.descriptors = memory, descriptors
        self.processes, self.engines, self.tasks = {}, [], []
        self.version = 0
        self.platform = ""

    def next_ip(self):
        self.ips += 1
        return "%s.%d" % (self.block, self.ips)

    def settings(self, name, ip, zone, listen, found, memory):
        path = os.path.join(self.temporary, name + ".toml")
        platform = 'platform = "%s"\n' % self.platform if self.platform else ""
        with open(path, "w") as f:
            f.write(SETTINGS.format(name=name, ip=ip, zone=zone, peer=7780, metrics=7795, seeds=json.dumps(self.operators[:3]), found="true" if found else "false",
                                    listen=listen, memory=memory, descriptors=self.descriptors, platform=platform,
                                    duties='"report_usage", "order_targets"' if self.platform else ""))
        return path

    async def start(self, name, found=False):
        kind, index = name.split("-")
        index = int(index)
        zone = ZONES[index % 3]
        if kind == "core":
            ip = self.core_ips[index]
            listen = 'operators = "%s"\ndata_folder = "%s"\n' % (self.operators[index], os.path.join(self.temporary, name + ".data"))
        else:
            ip = self.front_ips[index]
            listen = 'requests = "%s"\nreadiness = "%s"\n' % (self.fronts[index], self.ready[index])
        path = self.settings(name, ip, zone, listen, found, 280 if kind == "core" else self.memory)
        log = open(os.path.join(self.temporary, name + ".log"), "ab")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["AUBURNSCALE_BOOT"] = path
        self.processes[name] = await asyncio.create_subprocess_exec(PROGRAM, "serve", cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record("started %s, process %d", name, self.processes[name].pid)

    async def start_all(self):
        for name in ["core-%d" % i for i in range(len(self.core_ips))] + ["front-%d" % i for i in range(len(self.front_ips))]:
            await self.start(name, found=True)

    async def add_engine(self, *args, **kwargs):
        engine = Engine(self, *args, **kwargs)
        await engine.listen()
        self.engines.append(engine)
        self.tasks.append(asyncio.create_task(engine.beat()))
        return engine

    async def configure(self, configuration, within=15):
        """Sends the configuration until it is acknowledged, as the operator does."""
        self.version += 1
        configuration = dict(configuration, version=self.version)
        end = time.monotonic() + within
        while time.monotonic() < end:
            for address in random.sample(self.operators, len(self.operators)):
                try:
                    response = await call(address, "POST", "/Config.Replace", [("Content-Type", "application/json")], json.dumps(configuration).encode(), timeout=2)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    continue
                if response.status == 200:
                    self.record("configuration %d acknowledged", self.version)
                    return True
                if response.status < 500:
                    self.record("configuration %d refused: %d %s", self.version, response.status, response.body)
                    return False
            await asyncio.sleep(0.2)
        return False

    async def await_ready(self, within=20):
        end = time.monotonic() + within
        for address in self.ready:
            while True:
                try:
                    if (await call(address, "GET", "/ready", timeout=1)).status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    def memory_of(self, name):
        """Returns the resident memory of the process in MB, without files that are mapped, or None if it has ended."""
        try:
            with open("/proc/%d/status" % self.processes[name].pid) as f:
                fields = dict(line.split(":", 1) for line in f if ":" in line)
            return int(fields["RssAnon"].split()[0]) / 1024
        except (OSError, KeyError):
            return None

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            await process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def route(name, prefix, kind, service, timeout=5000, attempts=1, target=600, gap=250, resumable=False, affinity=False, priority=2):
    r = {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": target, "priority": priority, "service": service,
         "attempts": attempts, "noAuth": False}
    if kind == "stream":
        r.update(sessionAffinity=affinity, resumable=resumable, targetGapMs=gap)
    return r


def configuration():
    """A configuration like those of the small sites: one service of model engines and one plain service."""
    return {
        "routes": [
            route("r-dossier", "/lohu930/", "stream", "huvo11a", affinity=True),
            route("r-compare", "/pufi791/", "stream", "huvo11a", timeout=3000, attempts=2, resumable=True, affinity=True),
            route("r-confirm", "/puxa403/", "unsafe", "wuno96b", timeout=1200, target=150),
            route("r-read", "/zeto112/", "safe", "wuno96b", timeout=1200, attempts=2, target=150),
        ],
        "services": [
            {"name": "huvo11a", "health": "/health", "maxConns": 370, "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kvCapacity": 632734, "kvBytes": 18432, "linkMbps": 240000.0, "moves": True, "backups": True, "stride": 9, "most": 12, "handleTtlS": 5.0, "switchS": 3.0,
                        "pinMs": 4000.0, "holdMs": 2000.0, "models": [{"name": "m"}]}},
            {"name": "wuno96b", "health": "/health", "maxConns": 110, "protocol": "h1", "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "keys": [KEY], "priority": 1}],
    }


def new_id():
    return "%016x" % random.getrandbits(64)


def client_headers(id, deadline=2500, extra=()):
    return [("Host", HOST), ("X-Request-Id", id), ("X-Deadline-Ms", str(deadline)), ("Authorization", "Bearer " + KEY)] + list(extra)


def main(case, folder):
    """Runs the case and exits with 0, 1 or 2."""
    if not os.path.exists(PROGRAM):
        print("target/auburnscale is missing; run the build of the deploy file first")
        sys.exit(2)
    disturbed = os.environ.get("TROUBLE", "1") != "0"
    # Some cases hold over a thousand connections, clients' and servers' together.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most if most != resource.RLIM_INFINITY and most < 8192 else 8192, most))

    async def run():
        lab = None
        try:
            return await asyncio.wait_for(case_of(), 110)
        except Exception as e:  # the case could not run
            print("could not run: %r" % e)
            return 2

    async def case_of():
        return await case(folder, disturbed)

    sys.exit(asyncio.run(run()))
