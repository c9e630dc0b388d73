"""Two nodes' `pearfront duty --wait` want one duty. The one that holds it gets SIGKILL, and with it the process of the same
program that it has started: both are `pearfront duty ...` in a list of processes, and an operator who kills one by its name kills
both. The command stays. It has to be over before the lease is, when the other one's begins."""

import os
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
from lib2 import BROKEN, HELD, PEARFRONT, TROUBLE, NotRun, main, voters, wait_for

HERE = os.path.dirname(os.path.abspath(__file__))
LEASE_MS = 3000
HOW = "killed"


def play(case):
    nodes, _ = voters(case, 3, {"export": {"lease_ms": LEASE_MS}})
    acts = os.path.join(case.folder, "acts")

    def hold(node):
        # Acts ten times a second, for as long as it lives.
        command = f'trap "exit 0" TERM; while :; do echo "$(date +%s.%N) $PEARFRONT_TOKEN {node.name} $$" >> {acts}; sleep 0.1; done'
        arguments = ["duty", "export", "--node", f"127.0.0.1:{node.admin}", "--wait"]
        return case.start([PEARFRONT, *arguments, "--", "/bin/sh", "-c", command], f"duty-{node.name}")

    def lines():
        """Time, token, node and process of each act."""
        try:
            with open(acts) as file:
                split = [line.split() for line in file.read().split("\n")[:-1]]
                # One that was ended in the middle of an act may have written its line without the time.
                return [line for line in split if len(line) == 4]
        except OSError:
            return []

    first = hold(nodes["n0"])
    wait_for(lambda: lines(), 20, "the command of n0 runs")
    command = int(lines()[0][3])
    second = hold(nodes["n1"])
    time.sleep(2.0)
    try:
        guards = [int(pid) for pid in subprocess.run(
            ["ps", "--ppid", str(first.pid), "-o", "pid="], capture_output=True, text=True).stdout.split()]
        if TROUBLE:
            if HOW == "killed":
                case.note(f"SIGKILL to pearfront duty at n0 ({first.pid}) and the pearfront process under it ({guards})")
                for pid in [first.pid, *guards]:
                    os.kill(pid, signal.SIGKILL)
            else:
                case.note(f"SIGSTOP to pearfront duty at n0 ({first.pid})")
                os.kill(first.pid, signal.SIGSTOP)
        else:
            case.note("pearfront duty at n0 is told to end")
            first.send_signal(signal.SIGTERM)
        time.sleep(LEASE_MS / 1000 * 3)
        second.send_signal(signal.SIGTERM)
        second.wait(timeout=15)
    except subprocess.TimeoutExpired:
        raise NotRun("pearfront duty at n1 does not end")
    finally:
        # Whatever is left of the command of n0.
        try:
            os.kill(command, signal.SIGKILL)
        except ProcessLookupError:
            pass
    done = [(float(at), int(token), who) for at, token, who, _ in lines()]
    others = [at for at, _, who in done if who == "n1"]
    if not others:
        raise NotRun("the command of n1 never ran")
    begin = min(others)
    before = [at for at, _, who in done if who == "n0" and at < begin]
    behind = [at for at, _, who in done if who == "n0" and at > begin]
    case.note(f"acts under n0's token before the first under n1's: {len(before)}, the last one {begin - max(before):.2f} s before")
    case.note(f"acts under n1's token: {len(others)} in {max(others) - begin:.2f} s")
    case.note(f"acts under n0's token after the first under n1's: {len(behind)}"
              + (f", up to {max(behind) - begin:.2f} s after" if behind else ""))
    return BROKEN if behind else HELD


main(HERE, play)
