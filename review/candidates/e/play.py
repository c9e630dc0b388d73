"""Zone a has two nodes, of which one at a time may be drained (`drain_permit`). One is drained, stands still for longer than
its permit lasts, and goes on. The operator drains the other one as soon as the permit for it is there."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
from lib2 import BROKEN, HELD, TROUBLE, NotRun, call, main, voters

HERE = os.path.dirname(os.path.abspath(__file__))
RESTART_MS = 5000
# "yes is due again 2 s after the drain ends".
YES_DUE_S = 2.0
LOOK_S = 8.0


def play(case):
    permit = {"at_most": 1, "restart_ms": RESTART_MS}
    nodes, _ = voters(case, 3, {}, zones={"n0": "b"}, drain_permit=permit)
    first, second = nodes["n1"], nodes["n2"]

    def drain(node):
        answer = call(node.admin, "PUT", "/_lameduck/on")
        case.note(f"operator: drain {node.name}: {answer}")
        return answer is not None and answer[0] == 200

    def is_up(node):
        answer = call(node.listen, "GET", "/up", timeout=1.0)
        return answer is not None and answer[0] == 200

    if not drain(first):
        raise NotRun("the first node does not drain")
    time.sleep(2)
    if TROUBLE:
        case.signal(first.process, signal.SIGSTOP, first.name)
    # Longer than the permit lasts without a renewal.
    has_second, until = False, time.monotonic() + RESTART_MS / 1000 + 3
    while not has_second and time.monotonic() < until:
        has_second = drain(second)
        time.sleep(0.5)
    if TROUBLE:
        if not has_second:
            raise NotRun("the second node gets no permit")
        time.sleep(1)
        case.signal(first.process, signal.SIGCONT, first.name)
    went_on = time.monotonic()
    time.sleep(YES_DUE_S)
    looks = []
    while time.monotonic() < went_on + YES_DUE_S + LOOK_S:
        looks.append((is_up(first), is_up(second)))
        case.note(f"front: {first.name} says {'yes' if looks[-1][0] else 'no'}, {second.name} says {'yes' if looks[-1][1] else 'no'}")
        time.sleep(0.25)
    for node in (first, second):
        if node.process.poll() is not None:
            raise NotRun(f"{node.name} ended")
    both_away = sum(not one and not other for one, other in looks)
    case.note(f"looks {YES_DUE_S:.0f} to {YES_DUE_S + LOOK_S:.0f} s after: {len(looks)}, both nodes away in {both_away}")
    for node in (first, second):
        lines = [line for line in case.log_of(node.name).split("\n") if "state:" in line or "permit" in line or "stood-still" in line]
        case.note(f"log of {node.name}: {lines}")
    return BROKEN if both_away else HELD


main(HERE, play)
