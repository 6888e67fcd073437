#!/usr/bin/env python3
"""Measures the cost of a control process with N idle entries.

Starts three control processes and N entries of build/medlarwalk on 127.0.0.1
and prints the processor time and memory of each role over the measured time.
Usage: tools/control-cost.py N [SECONDS]
"""
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

BASE = 26000
EACH = 10
CONTROLS = 3
TICK = os.sysconf("SC_CLK_TCK")
VARIABLE = "MEDLARWALK_SETTINGS"


def settings(folder, i):
    port = lambda host, k: BASE + host * EACH + k
    seeds = ",".join(f'"127.0.0.1:{port(k, 5)}"' for k in range(CONTROLS))
    path = folder / f"node-{i}.toml"
    path.write_text(f'''NodeName = "host-{i}"
Ip = "127.0.0.1"
Zone = "z"
InternalPorts = [{port(i, 0)},{port(i, 8)}]
Seeds = [{seeds}]
Bootstrap = true
DataDir = "{folder}/data-{i}"
[Listen]
Frontend = "127.0.0.1:{port(i, 2)}"
Readiness = "127.0.0.1:{port(i, 3)}"
ControlPlane = "127.0.0.1:{port(i, 5)}"
[CloudApi]
Address = "127.0.0.1:1"
''')
    return path


def processor_s(pid):
    f = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(f[11]) + int(f[12])) / TICK


def resident_mb(pid):
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


def main():
    entries = int(sys.argv[1])
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 20
    folder = pathlib.Path(tempfile.mkdtemp())
    procs = []
    try:
        for i in range(CONTROLS + entries):
            role = "platform-control" if i < CONTROLS else "platform-entry"
            log = open(folder / f"host-{i}.log", "w")
            env = dict(os.environ, **{VARIABLE: str(settings(folder, i))})
            procs.append(subprocess.Popen(["build/medlarwalk", role], env=env,
                                          stdout=log, stderr=log))
        time.sleep(4)
        before = [processor_s(p.pid) for p in procs]
        time.sleep(seconds)
        after = [processor_s(p.pid) for p in procs]
        share = [100 * (b - a) / seconds for a, b in zip(before, after)]
        memory = [resident_mb(p.pid) for p in procs]
        for name, part in (("control", slice(0, CONTROLS)),
                           ("entry", slice(CONTROLS, None))):
            print(f"{entries} entries, {name}: mean {sum(share[part]) / len(share[part]):.3f}% "
                  f"of a core, most {max(share[part]):.3f}%, most {max(memory[part]):.1f} MB")
    finally:
        for p in procs:
            p.send_signal(signal.SIGKILL)
            p.wait()


main()
