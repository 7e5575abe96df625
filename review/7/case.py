"""All processes are killed at the same moment. The entry instances are back before the control group, and clients
send proper requests to them. No client may get a success that no server gave."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from lab import HOST, ZONES, Lab, client_headers, configuration, main, new_id, read_message  # noqa: E402

TIMEOUT_MS = 400  # timeoutMs of the two plain routes
DEADLINE_MS = 2500  # X-Deadline-Ms, as on the sheets
FRONT_BACK_S, CORE_BACK_S = 0.2, 0.7
SENDING_S, GAP_S = 4.0, 0.005
ROUNDS = 5


async def request(lab, front, method, path, answers):
    """Sends one request on a new connection, which is allowed a second, and records its answer."""
    id = new_id()
    body = b"0123456789" if method == "POST" else b""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*front.split(":")), 1)
    except (OSError, asyncio.TimeoutError):
        return
    began = time.monotonic()
    headers = client_headers(id, DEADLINE_MS, [("Content-Length", str(len(body)))] if body else [])
    writer.write("\r\n".join(["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % h for h in headers] + ["", ""]).encode() + body)
    lab.record.quiet("sent %s %s id=%s to %s", method, path, id, front)
    try:
        message = await asyncio.wait_for(read_message(reader, method), DEADLINE_MS / 1000)
        outcome = (method, message.status, "signed" if message.get("X-Server-Stamp") else "unsigned")
        lab.record.quiet("answer to id=%s after %.0f ms: %s, %s, %d bytes", id, (time.monotonic() - began) * 1000, message.line, outcome[2], len(message.body))
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
        outcome = (method, type(e).__name__, "")
        lab.record.quiet("no answer to id=%s: %r", id, e)
    finally:
        writer.close()
    answers.append((id, outcome))


async def herd_kill(lab):
    """Kills all processes at once. The entry instances come back first, the control group within a second."""
    names = list(lab.processes)
    for name in names:
        lab.processes[name].kill()
    for name in names:
        await lab.processes[name].wait()
    lab.record("killed all processes")
    await asyncio.sleep(FRONT_BACK_S)
    for name in names:
        if name.startswith("front"):
            await lab.start(name)
    await asyncio.sleep(CORE_BACK_S - FRONT_BACK_S)
    for name in names:
        if name.startswith("core"):
            await lab.start(name)


def judge(lab, answers):
    """Records the outcomes, and returns the numbers of successes with and without a signature."""
    outcomes = {}
    for _, outcome in answers:
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
    for outcome, count in sorted(outcomes.items(), key=str):
        lab.record("%4d answers: %s", count, outcome)
    ran = {run[0] for engine in lab.engines for run in engine.runs}
    bad = [id for id, (_, status, signed) in answers if isinstance(status, int) and 200 <= status < 300 and signed == "unsigned"]
    for id in bad:
        lab.record("MIXED: id=%s got a success without a signature; it %s at a server", id, "ran" if id in ran else "never ran")
    return sum(1 for _, (_, status, signed) in answers if status == 200 and signed == "signed"), len(bad)


async def case(folder, disturbed):
    lab = Lab(folder, fronts=2)
    try:
        await lab.start_all()
        for zone in ZONES:
            await lab.add_engine("wuno96b", zone, slots=6)
            await lab.add_engine("huvo11a", zone, stage="decode")
        settings = configuration()
        for route in settings["routes"]:
            if route["kind"] != "stream":
                route["timeoutMs"] = TIMEOUT_MS
        await asyncio.sleep(1)
        if not await lab.configure(settings) or not await lab.await_ready():
            return 2
        await asyncio.sleep(1.5)
        for _ in range(ROUNDS):
            kill = asyncio.create_task(herd_kill(lab)) if disturbed else None
            answers, requests = [], []
            end = time.monotonic() + SENDING_S
            while time.monotonic() < end:
                front = lab.fronts[len(requests) % 2]
                method, path = ("POST", "/puxa403/2f") if len(requests) % 20 < 2 else ("GET", "/zeto112/2f")
                requests.append(asyncio.create_task(request(lab, front, method, path, answers)))
                await asyncio.sleep(GAP_S)
            await asyncio.wait(requests)
            if kill:
                await kill
            served, bad = judge(lab, answers)
            lab.record("%d successes with a signature, %d without", served, bad)
            if served == 0:
                return 2
            if bad:
                return 1
            if not await lab.await_ready():
                return 2
            await asyncio.sleep(1)
        return 0
    finally:
        await lab.stop()


main(case, FOLDER)
