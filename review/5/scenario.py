"""The leave of a server that was acknowledged is lost with the control instance that acknowledged it."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from deployment import ZONES, main, plain_service, read_answer, route, split  # noqa: E402

PREFIX = "/puxa403/"
DRAIN_S, CONTACT_S, MARGIN_S = 2.0, 3.0, 0.3
RESTART_S, LINGER_S = 1.0, 10.0


def client(d, entry, end):
    while time.time() < end:
        d.request(entry, "POST", PREFIX + "2f", body=b"{}", quiet=True)
        time.sleep(0.02)


def leave(control, engine):
    """Sends the server's leave and waits for its acknowledgement."""
    connection = socket.create_connection(split(control.operators), timeout=1)
    connection.sendall(("POST /Instances.Deregister/%s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" % engine.id).encode())
    return read_answer(connection.makefile("rb"))


def scenario(d, trouble):
    d.start()
    d.replace([route("r-confirm", PREFIX, "unsafe", "xano55b")], [plain_service("xano55b")])
    for n, zone in enumerate(ZONES[:2]):
        d.add_engine("i-%d" % n, "xano55b", zone, slots=6).work_s = 0.03
    d.await_ready()
    time.sleep(5)
    leaver, control = d.engines[0], d.controls[1]
    end = time.time() + 2 + LINGER_S
    clients = [threading.Thread(target=client, args=(d, d.entries[n % 3], end)) for n in range(24)]
    for each in clients:
        each.start()
    time.sleep(2)

    # A server that never reports draining: it sends its leave first, goes on to serve for drainMs
    # and many seconds more, and exits.
    leaver.beating = False
    answer = leave(control, leaver)
    acked = time.time()
    disturbed = acked
    if trouble:
        # The instance that acknowledged it is killed, and is back after a short delay.
        control.kill()
        time.sleep(RESTART_S)
        control.start()
        disturbed = time.time()
    d.record.write("server %s: its leave, sent to %s, got %s at %.3f" % (leaver.id, control.name, answer, acked - d.record.start))
    for each in clients:
        each.join()
    leaver.end()
    if answer.status != 200:
        return []
    # The entry instances are in touch again contactMs after the last event on the core.
    judged = max(acked + DRAIN_S, disturbed + CONTACT_S if trouble else 0) + MARGIN_S
    late = [(at, request) for at, request, *_ in leaver.arrivals if at > judged]
    d.record.write("%d requests reach %s later than %.1f s after its acknowledged leave, %d reach it in all" % (len(late), leaver.id, judged - acked, len(leaver.arrivals)))
    return ["%s reaches %s %.1f s after its acknowledged leave" % (request, leaver.id, at - acked) for at, request in late[:10]]


main(FOLDER, scenario)
