"""A stream whose text holds "id:" goes on with pieces that the client already has."""

import os
import re
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from deployment import ZONES, engine_service, main, reset, route  # noqa: E402

PREFIX, PIECES, PAUSE_S = "/lohu930/", 12, 0.06
DOWN_S = 2.0


def event(n, bids):
    """A piece with its id. The text of some streams holds the letters "id:", as model output may."""
    text = "lot %d, high bid: %d EUR" % (n, 100 + n) if bids else "lot %d, tasted in March" % n
    return ("id: %d\ndata: %s\n\n" % (n, text)).encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream(engine, connection, method, path, headers, body):
    """A server's answer: pieces with increasing ids, from the one after Last-Event-Id on."""
    request, bids = headers["x-request-id"], b"bids" in body
    first = int(headers.get("last-event-id") or 0) + 1
    engine.deployment.record.write("engine %s: %s, Last-Event-Id %s, begins at piece %d" % (engine.id, request, headers.get("last-event-id"), first))
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"] + ["%s: %s" % h for h in engine.stamp(headers).items()]
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
    for n in range(first, PIECES + 1):
        if not engine.open:
            # The server crashes in the middle of an event.
            connection.sendall(chunk(event(n, bids)[:7]))
            time.sleep(0.05)
            engine.deployment.record.write("engine %s: crashes inside piece %d of %s" % (engine.id, n, request))
            reset(connection)
            raise ConnectionError("crashed")
        connection.sendall(chunk(event(n, bids)))
        time.sleep(PAUSE_S)
    connection.sendall(b"0\r\n\r\n")


def client(d, number, end, answers):
    question = b"bids" if number % 2 else b"notes"
    while time.time() < end:
        request = d.new_id()
        headers = {"X-Model": "m", "X-Token-Count": "900,80", "X-Prefix-Hash": "%x:400,%s:500" % (number + 1, request)}
        answer = d.request(d.entries[number % 3], "POST", PREFIX + "2f", request_id=request, body=question.ljust(900), deadline_ms=5000, headers=headers)
        answer.question = question.decode()
        answers.append(answer)
        time.sleep(0.2)


def scenario(d, trouble):
    d.start()
    d.replace([route("r-stream", PREFIX, "stream", "huvo11a", attempts=2, timeout_ms=5000, resumable=True)], [engine_service("huvo11a")])
    for n in range(5):
        # The servers run the same software version and may go on with each other's streams.
        d.add_engine("i-%d" % n, "huvo11a", ZONES[n % 3], stage="decode", slots=64).answer = stream
    d.await_ready()
    time.sleep(4)
    answers = []
    clients = [threading.Thread(target=client, args=(d, n, time.time() + 15, answers)) for n in range(18)]
    for each in clients:
        each.start()
    if trouble:
        # One of five servers crashes, and is back under a new id after DOWN_S.
        time.sleep(5)
        victim = max((e for e in d.engines if e.stage == "decode"), key=lambda e: e.active)
        victim.crash()
        d.record.write("engine %s crashes with %d streams" % (victim.id, victim.active))
        time.sleep(DOWN_S)
        d.add_engine("i-5", "huvo11a", victim.zone, stage="decode", slots=64, at=victim.address).answer = stream
    for each in clients:
        each.join()
    breaks = []
    for answer in answers:
        ids = [int(i) for i in re.findall(rb"^id: (\d+)\n", answer.body, flags=re.M)]
        wanted = list(range(1, PIECES + 1))
        if answer.status == 200 and (ids != wanted if answer.complete else ids != wanted[:len(ids)]):
            breaks.append("stream %s (%s) does not hold its pieces in order, each once: %s" % (answer.id, answer.question, ids))
    d.record.write("%d streams, %d of them whole" % (len(answers), sum(1 for a in answers if a.status == 200 and a.complete)))
    return breaks


main(FOLDER, scenario)
