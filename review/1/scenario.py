"""A heartbeat whose id cannot be read cuts every entry instance off from changes."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from deployment import CannotRun, KEY, OTHER_KEY, ZONES, main, plain_service, post, route  # noqa: E402

OLD, NEW = "/puxa403/", "/cufi504/"


def scenario(d, trouble):
    d.start()
    services = [plain_service("xano55b")]
    both = [{"name": "hule930", "keys": [KEY], "priority": 1}, {"name": "fida11", "keys": [OTHER_KEY], "priority": 1}]
    d.replace([route("r-old", OLD, "unsafe", "xano55b")], services, both)
    for n, zone in enumerate(ZONES):
        d.add_engine("i-%d" % n, "xano55b", zone)
    d.await_ready()
    time.sleep(4)
    for entry in d.entries:
        if d.request(entry, "POST", OLD + "2f", body=b"{}").status != 200:
            raise CannotRun("the system does not serve before the disruption")

    if trouble:
        # One call of another writer to each control instance. Its body is a heartbeat; its id
        # holds a byte that is no UTF-8.
        for control in d.controls:
            answer = post(control.operators, "/Instances.Heartbeat/i-%ff", {
                "service": "zuma77", "addr": d.net + ".200:8080", "zone": ZONES[0], "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": int(time.time() * 1000)})
            d.record.write("another writer: heartbeat of i-%%ff to %s: %s" % (control.name, answer))
    time.sleep(2)

    # A planned change: a route is added, another one and a tenant's only key are dropped.
    version = d.replace([route("r-new", NEW, "unsafe", "xano55b")], services, [{"name": "hule930", "keys": [KEY], "priority": 1}, {"name": "fida11", "keys": ["k2"], "priority": 1}])
    # configMs is 2 s. The core and all links are undisturbed throughout.
    time.sleep(4)
    breaks = []
    for round in range(3):
        for entry in d.entries:
            answer = d.request(entry, "POST", NEW + "2f", body=b"{}")
            if answer.status == 404:
                breaks.append("%s refuses %s on the route of version %d with 404" % (entry.name, answer.id, version))
            answer = d.request(entry, "POST", OLD + "2f", body=b"{}")
            if answer.status == 200:
                breaks.append("%s runs %s on the route that version %d dropped" % (entry.name, answer.id, version))
            answer = d.request(entry, "POST", OLD + "2f", key=OTHER_KEY, body=b"{}")
            if answer.status == 200:
                breaks.append("%s runs %s with the key that version %d dropped" % (entry.name, answer.id, version))
        time.sleep(3)
    return breaks


main(FOLDER, scenario)
