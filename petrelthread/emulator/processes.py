"""Controllers as real processes on the loopback interface: settings, start, kill and pause."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import IO

# Name, guaranteed cores and maximum cores of each team; a maximum of 0 means no limit.
TEAMS = (("red", 4.0, 12.0), ("blue", 4.0, 8.0), ("guest", 0.0, 0.0))
ZONES = ("a", "b", "c")
HEARTBEAT_INTERVAL_S = 0.5
LEASE_S = 5.0
CANCEL_S = 16.0
LIST_LAG_S = 4.0
TXN_OPS = 8
SETTINGS = """host_name = "{name}"
zone = "{zone}"
bind = "{public}"
peer_listen = "{peer}"
{siblings}[endpoints]
cloud = "{cloud}"
state = "{state}"
[cluster]
count = {count}
zones = [{zones}]
skew_ms = 100.0
{teams}[[cluster.objectives]]
kind = "finished"
class = "batch"
within_s = 60.0
share = 0.8
[[cluster.objectives]]
kind = "wait"
class = "rush"
within_s = 5.0
share = 0.8
[cluster.workers]
report_s = {report_s}
lease_s = {lease_s}
cancel_s = {cancel_s}
[cluster.state]
rps = 400.0
write_rps = 120.0
value_kb = 4.0
txn_ops = {txn_ops}
[cluster.cloud]
rps = 20.0
list_lag_s = {list_lag_s}
"""


@dataclass(frozen=True)
class Addresses:
    """Addresses at which one controller listens, and those of its peers and the services."""

    public: str
    peer: str
    state: str
    cloud: str
    siblings: tuple[tuple[str, str], ...]  # name and address of each peer


def settings_text(name: str, zone: str, addresses: Addresses) -> str:
    """Return the text of one controller's settings file."""
    siblings = "".join(
        f'[[siblings]]\nhost_name = "{sibling}"\npeer_addr = "{address}"\n'
        for sibling, address in addresses.siblings
    )
    zones = ", ".join(f'"{z}"' for z in ZONES)
    teams = "".join(
        f'[[cluster.teams]]\nname = "{team}"\ncpus = {guaranteed_cores}\ncpus_max = {max_cores}\n'
        for team, guaranteed_cores, max_cores in TEAMS
    )
    return SETTINGS.format(
        name=name,
        zone=zone,
        public=addresses.public,
        peer=addresses.peer,
        siblings=siblings,
        cloud=addresses.cloud,
        state=addresses.state,
        count=1 + len(addresses.siblings),
        zones=zones,
        teams=teams,
        report_s=HEARTBEAT_INTERVAL_S,
        lease_s=LEASE_S,
        cancel_s=CANCEL_S,
        txn_ops=TXN_OPS,
        list_lag_s=LIST_LAG_S,
    )


def copy_with_timestamps(source: IO[bytes], path: Path) -> None:
    """Append each line of ``source`` to the file, preceded by the time at which it was read.

    The time is in seconds on the clock that the invariant checker uses. Returns when the process
    that writes to ``source`` exits.
    """
    with path.open("ab") as log, source:
        for line in source:
            log.write(f"{time.monotonic():10.3f} ".encode() + line)
            log.flush()


class ControllerProcess:
    """A controller process that can be killed, paused and restarted with the same settings."""

    def __init__(self, name: str, sources: Path, directory: Path, settings: str) -> None:
        """Write the settings file without starting the process.

        Args:
            name: The controller's name.
            sources: The checkout whose ``run.py`` runs.
            directory: Where the settings file and the log are written.
            settings: The text of the settings file.
        """
        self.name = name
        self._sources = sources
        self._settings = directory / f"{name}.toml"
        self._settings.write_text(settings, encoding="utf-8")
        self.log = directory / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self.unexpected_exits = 0

    def start(self) -> None:
        """Start the process unless it already runs."""
        if self.running:
            return
        command = [sys.executable, str(self._sources / "run.py"), "--config", str(self._settings)]
        environment = {**os.environ, "LOG_LEVEL": "debug"}
        environment.pop("PYTHONPATH", None)
        self._process = subprocess.Popen(
            command,
            cwd=self._sources,
            env=environment,
            stdin=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )
        assert self._process.stderr is not None
        threading.Thread(
            target=copy_with_timestamps, args=(self._process.stderr, self.log), daemon=True
        ).start()

    @property
    def running(self) -> bool:
        """Whether the process exists, paused or not."""
        return self._process is not None and self._process.poll() is None

    def restart_if_exited(self) -> None:
        """Restart the process if it exited without being killed, and count the exit."""
        if self._process is not None and self._process.poll() is not None:
            self.unexpected_exits += 1
            self.start()

    def kill(self) -> None:
        """Kill the process immediately, also if it is paused."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None

    def pause(self) -> None:
        """Suspend the process. Clocks continue to run."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process."""
        self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        if self.running and self._process is not None:
            self._process.send_signal(number)
