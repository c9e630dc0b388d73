"""A nightly export under `pearfront duty --once-per 1h`. The node that it asks is cut off from the other voters as the export
ends, for longer than the lease. The cut over, `pearfront duty` ends. Some time later another node's turn comes."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
from lib2 import BROKEN, HELD, PEARFRONT, TROUBLE, NotRun, call, main, voters, wait_for

HERE = os.path.dirname(os.path.abspath(__file__))
LEASE_MS = 3000
CUT_S = 6.0


def play(case):
    nodes, ways = voters(case, 3, {"export": {"lease_ms": LEASE_MS}}, cut_of="n0")
    runs, go = os.path.join(case.folder, "runs"), os.path.join(case.folder, "go")

    def export(node):
        # Writes one line for each run, and ends well once it is told to.
        command = f'echo "$PEARFRONT_TOKEN at {node.name}" >> {runs}; while [ ! -e {go} ]; do sleep 0.02; done; exit 0'
        arguments = ["duty", "export", "--node", f"127.0.0.1:{node.admin}", "--wait", "--once-per", "1h"]
        return case.start([PEARFRONT, *arguments, "--", "/bin/sh", "-c", command], f"duty-{node.name}")

    def lines():
        try:
            with open(runs) as file:
                return file.read().split("\n")[:-1]
        except OSError:
            return []

    first = export(nodes["n0"])
    wait_for(lambda: len(lines()) == 1, 20, "the export runs")
    case.note(f"the export runs: token {lines()[0]}")
    time.sleep(2.5)
    if TROUBLE:
        case.note("n0 is cut off from n1 and n2")
        for way in ways:
            way.is_cut = True
    time.sleep(0.2)
    open(go, "w").close()
    case.note("the export is told to end, and ends with 0")
    time.sleep(CUT_S - 0.2)
    if TROUBLE:
        case.note("the cut is over")
        for way in ways:
            way.is_cut = False
    try:
        code = first.wait(timeout=25)
    except Exception:
        raise NotRun("pearfront duty does not end")
    case.note(f"pearfront duty at n0 ended with {code}: {case.log_of('duty-n0').strip()}")
    time.sleep(1.0)
    case.note(f"n1 says of the duties: {(call(nodes['n1'].admin, 'GET', '/_duties') or ('', 'nothing'))[1].strip()}")

    second = export(nodes["n1"])
    try:
        again = second.wait(timeout=25)
    except Exception:
        raise NotRun("pearfront duty at n1 does not end")
    case.note(f"pearfront duty at n1, once per hour, ended with {again}: {case.log_of('duty-n1').strip()}")
    for line in lines():
        case.note(f"a run: token {line}")
    if code == 125:
        case.note("excused: 125 says that it may run again")
        return HELD
    if code != 0:
        raise NotRun("the first export was not reported as ended well")
    return BROKEN if len(lines()) > 1 else HELD


main(HERE, play)
