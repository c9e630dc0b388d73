"""A keyed class whose repeats the servers of one zone drop. Zone a has been given up; the operator takes it out of the node's
file and sends SIGHUP. Then zone c gets its servers. Servers of zone b reset connections under requests that they have run."""

import http.client
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
from lib2 import (
    BROKEN,
    HELD,
    HOST,
    RESET,
    TROUBLE,
    Discovery,
    Node,
    NotRun,
    call,
    free_port,
    instance,
    main,
    serve_http,
    settings,
    wait_for,
)

HERE = os.path.dirname(os.path.abspath(__file__))
WINDOW_MS = 5000
REQUESTS = 800
CLIENTS = 8
WORK_S = 0.03


class Zone:
    """What the servers of one zone remember together: keys that they have run, for the window."""

    def __init__(self):
        self.ran, self.lock = {}, threading.Lock()

    def run(self, key):
        """Whether the request runs; a repeat within the window is dropped and gets the first one's answer."""
        with self.lock:
            at = self.ran.get(key)
            if at is not None and time.monotonic() - at < WINDOW_MS / 1000:
                return False
            self.ran[key] = time.monotonic()
            return True


def play(case):
    zones = {"b": Zone(), "c": Zone()}
    runs, lock = {}, threading.Lock()
    chance = random.Random(7)

    def server(name, zone, resets):
        port = free_port()

        def answer(request):
            if request.path == "/alive":
                return 200, b""
            if not request.path.startswith("/order"):
                return 404, b""
            key, id_ = request.headers["idempotency-key"], request.headers["x-trace-id"]
            ran = zones[zone].run(key)
            time.sleep(WORK_S)
            with lock:
                if ran:
                    runs.setdefault(key, []).append((name, zone))
                reset = chance.random() < resets
            case.note(f"{name} in zone {zone}: {id_} {'runs' if ran else 'dropped as a repeat'}{', reset' if reset else ''}")
            return RESET if reset else (200, f"order {key}".encode())

        serve_http(port, answer)
        return instance(name, port, zone)

    b = [server(f"b{number}", "b", 0.3) for number in range(2)]
    discovery = Discovery(case, b)

    def file_settings(azs):
        order = {
            "name": "order", "effect": "keyed", "group": "zone", "window": WINDOW_MS * 10**6,
            "contract_time": 1000000000, "outer_limit": 3000000000, "gain": 1.0,
        }
        base = settings()
        return {
            **base,
            "azs": azs,
            "locality": azs.index("b"),
            "discovery": "pushed",
            "profiles": [order],
            "limits": {**base["limits"], "probes": False, "parallel_tries": False},
            "report": {"fields": [], "via": "none"},
        }

    config = {
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": discovery.known(),
        "settings": file_settings(["a", "b", "c"]),
    }
    node = Node(case, "n0", config, discovery.port)
    node.start()
    node.wait_until_up()
    time.sleep(1)

    if TROUBLE:
        node.config = {**node.config, "settings": file_settings(["b", "c"])}
        node.write()
        case.signal(node.process, signal.SIGHUP, "n0, whose file names the zones b and c")
        wait_for(lambda: "configuration read again" in case.log_of("n0"), 5, "the node reads its file")
        case.note([line for line in case.log_of("n0").split("\n") if "configuration" in line][-1])
    for number in range(3):
        discovery.tell(server(f"c{number}", "c", 0.0))
    time.sleep(2)

    outcomes = {}

    def client(first):
        connection = http.client.HTTPConnection(HOST, node.listen, timeout=4)
        for number in range(first, REQUESTS, CLIENTS):
            id_, key = f"r{number:06d}", f"key-{number:06d}"
            headers = {
                "X-Trace-Id": id_, "X-Customer": "acme", "X-Expires-In": "2.000", "Idempotency-Key": key,
            }
            try:
                connection.request("POST", "/order", body=b"x" * 100, headers=headers)
                answer = connection.getresponse()
                answer.read()
                status = answer.status
            except (OSError, http.client.HTTPException):
                connection.close()
                status = None
            with lock:
                outcomes[status] = outcomes.get(status, 0) + 1
            case.note(f"client: {id_} got {status}")
            time.sleep(0.03)

    clients = [threading.Thread(target=client, args=(first,)) for first in range(CLIENTS)]
    for one in clients:
        one.start()
    for one in clients:
        one.join()
    if node.process.poll() is not None:
        raise NotRun("the node ended")
    repeated = {key: where for key, where in runs.items() if len(where) > 1}
    case.note(f"answers by status: {outcomes}")
    case.note(f"servers that ran requests: {sorted({name for where in runs.values() for name, _ in where})}")
    for key, where in repeated.items():
        case.note(f"{key} ran more than once: {where}")
    return BROKEN if repeated else HELD


main(HERE, play)
