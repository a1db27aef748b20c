#!/usr/bin/env python3
"""Runs the cases of system/promise_stop beside busy loops and prints what each program spent.

    support/stops-at-once.py [--build build-sanitize] [--rounds 10] [--loops 16] [--match REGEX] [--parallel 4]

One line a round says which cases failed and with which check, then one line a program: processes, threads
and resident memory at their highest, processor in seconds (user, system), voluntary and involuntary
switches, and the three threads that took most.
"""
import argparse
import collections
import os
import re
import subprocess
import threading
import time

SAMPLE_PERIOD_S = 0.25
TICKS = os.sysconf("SC_CLK_TCK")
PROGRAMS = ("applehatch-rout", "applehatch-side", "emulated-engine", "emulated-platf", "system-tests")


def read(path):
    """The file's text; empty once its process has ended."""
    try:
        with open(path) as file:
            return file.read()
    except OSError:
        return ""


def processor(stat):
    """User and system seconds from the text of a stat file."""
    fields = stat.rpartition(")")[2].split()
    return int(fields[11]) / TICKS, int(fields[12]) / TICKS


class Sampler:
    """Keeps the last counts of each thread of the programs while a round runs."""

    def __init__(self):
        self.programs = {}
        self.threads = {}
        self.highest = collections.defaultdict(lambda: [0, 0])
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def stop(self):
        self.stopped.set()
        self.thread.join()

    def run(self):
        while not self.stopped.wait(SAMPLE_PERIOD_S):
            for pid in filter(str.isdigit, os.listdir("/proc")):
                self.sample(pid)

    def sample(self, pid):
        name = read(f"/proc/{pid}/comm").strip()
        if not name.startswith(PROGRAMS):
            return
        self.programs[pid] = name
        status = read(f"/proc/{pid}/status")
        counts = [re.search(rf"{key}:\s+(\d+)", status) for key in ("Threads", "VmRSS")]
        for index, found in enumerate(counts):
            if found:
                self.highest[pid][index] = max(self.highest[pid][index], int(found.group(1)))
        try:
            tids = os.listdir(f"/proc/{pid}/task")
        except OSError:
            return
        for tid in tids:
            self.sample_thread(pid, tid)

    def sample_thread(self, pid, tid):
        stat = read(f"/proc/{pid}/task/{tid}/stat")
        status = read(f"/proc/{pid}/task/{tid}/status")
        switches = [int(count) for count in re.findall(r"ctxt_switches:\s+(\d+)", status)]
        if stat and len(switches) == 2:
            self.threads[pid, tid] = (*processor(stat), *switches)

    def report(self):
        for program in sorted(set(self.programs.values())):
            pids = [pid for pid, name in self.programs.items() if name == program]
            rows = sorted((row for (pid, _), row in self.threads.items() if pid in pids), reverse=True)
            user, system, voluntary, involuntary = (sum(row[index] for row in rows) for index in range(4))
            busiest = " ".join(f"{row[0] + row[1]:.2f}" for row in sorted(rows, key=lambda r: -r[0] - r[1])[:3])
            most_threads = max(self.highest[pid][0] for pid in pids)
            most_memory = max(self.highest[pid][1] for pid in pids) // 1024
            print(f"  {program:16} processes {len(pids):3} threads {most_threads:4} memory {most_memory:4} MB "
                  f"processor {user:6.2f} + {system:5.2f} s switches {voluntary:7} + {involuntary:6} "
                  f"busiest threads {busiest} s", flush=True)


def play(options):
    """One round: ctest's output and how long it took, in seconds."""
    loops = [subprocess.Popen(["sh", "-c", "while :; do :; done"]) for _ in range(options.loops)]
    sampler = Sampler()
    began = time.monotonic()
    try:
        done = subprocess.run(["ctest", "--test-dir", options.build, "--parallel", str(options.parallel), "-V",
                               "-R", options.match], capture_output=True, text=True)
    finally:
        for loop in loops:
            loop.kill()
            loop.wait()
        sampler.stop()
    return done.stdout, time.monotonic() - began, sampler


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build-sanitize")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--loops", type=int, default=16)
    parser.add_argument("--parallel", type=int, default=4)
    parser.add_argument("--match", default="system/promise_stop/")
    options = parser.parse_args()
    red = 0
    for number in range(1, options.rounds + 1):
        output, seconds, sampler = play(options)
        failed = re.findall(r"\*\*\*(?:Failed|Timeout)|(?<=error: )in .*", output)
        passed = len(re.findall(r" Passed ", output))
        red += bool(failed) or passed == 0
        print(f"round {number}: {passed} passed, {seconds:.0f} s, red so far {red}", flush=True)
        for line in failed:
            print(f"  {line[:300]}", flush=True)
        sampler.report()


main()
