"""Injects the faults of a soak into processes, services, machines and links."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from petrelthread.emulator.faults import STATE, Fault, FaultKind

if TYPE_CHECKING:
    from petrelthread.emulator.loopback_environment import LoopbackEnvironment
    from petrelthread.emulator.processes import ControllerProcess
    from petrelthread.emulator.worker import Worker

LEADER_SHARE = 0.6  # of the faults of one controller that target the leader
MESSAGE_SHARE = 0.4  # of the messages that a fault of LATE_KINDS affects
MAX_TERMINATED_MACHINES = 3  # machines that one fault terminates
MAX_HELD_MACHINES = 6  # machines to which one fault holds commands

FaultAction = Callable[[Fault], Awaitable[None]]


class FaultInjector:
    """Injects faults into one environment and undoes each fault when it ends."""

    def __init__(self, environment: LoopbackEnvironment) -> None:
        self._environment = environment
        self.fault_counts: Counter[str] = Counter()
        self._killed: set[str] = set()  # controllers not to be restarted before their fault ends
        self._actions: dict[FaultKind, FaultAction] = {
            FaultKind.KILL_CONTROLLER: self._kill_one,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.PAUSE_CONTROLLER: self._pause,
            FaultKind.CUT_FROM_STATE: self._cut_from_state,
            FaultKind.CUT_FROM_STATE_AND_PEERS: self._cut_from_state_and_peers,
            FaultKind.CUT_FROM_PEERS: self._cut_from_peers,
            FaultKind.REFUSED_BY_STATE: self._refuse_at_state,
            FaultKind.STATE_OUTAGE: self._state_outage,
            FaultKind.CLOUD_OUTAGE: self._cloud_outage,
            FaultKind.LATE_WRITES: self._delay_messages("late_writes"),
            FaultKind.LATE_COMMANDS: self._delay_messages("late_commands"),
            FaultKind.LATE_HEARTBEATS: self._delay_messages("late_heartbeats"),
            FaultKind.MACHINES_DIE: self._machines_die,
            FaultKind.MACHINE_HANGS: self._set_worker_flag("hanging"),
            FaultKind.MACHINE_FAULTY: self._set_worker_flag("faulty"),
            FaultKind.MACHINE_NOT_RECEIVING: self._partition_machine("not_receiving"),
            FaultKind.MACHINE_NOT_SENDING: self._partition_machine("not_sending"),
            FaultKind.COMMANDS_HELD: self._hold_commands,
            FaultKind.ZONE_CUT: self._zone_cut,
        }

    async def inject(self, fault: Fault, started_at: float) -> None:
        """Wait until the fault begins, inject it, and undo it when it ends."""
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, started_at + fault.begins_s - now))
        self.fault_counts[fault.kind.value] += 1
        await self._actions[fault.kind](fault)

    def restart_exited_controllers(self) -> None:
        """Restart controllers that exited without being killed."""
        for controller in self._environment.controllers:
            if controller.name not in self._killed:
                controller.restart_if_exited()

    def _target_controller(self, fault: Fault) -> ControllerProcess:
        """The controller that the fault affects: the leader in ``LEADER_SHARE`` of the cases."""
        controllers = self._environment.controllers
        if fault.target_draw < LEADER_SHARE:
            leader = self._environment.leader
            for controller in controllers:
                if controller.name == leader:
                    return controller
        return controllers[int(fault.target_draw * len(controllers))]

    def _running_workers(self) -> list[Worker]:
        machines = self._environment.cloud.machines.values()
        return [machine.worker for machine in machines if machine.worker.up]

    def _target_worker(self, fault: Fault) -> Worker | None:
        workers = self._running_workers()
        return workers[int(fault.target_draw * len(workers))] if workers else None

    # ---- processes ---------------------------------------------------------------------------

    async def _kill(self, controllers: list[ControllerProcess], lasts_s: float) -> None:
        killed = [c for c in controllers if c.name not in self._killed]
        self._killed |= {c.name for c in killed}
        for controller in killed:
            controller.kill()
        await asyncio.sleep(lasts_s)
        self._killed -= {c.name for c in killed}
        for controller in killed:
            controller.start()

    async def _kill_one(self, fault: Fault) -> None:
        await self._kill([self._target_controller(fault)], fault.lasts_s)

    async def _kill_all(self, fault: Fault) -> None:
        await self._kill(self._environment.controllers, fault.lasts_s)

    async def _pause(self, fault: Fault) -> None:
        controller = self._target_controller(fault)
        controller.pause()
        await asyncio.sleep(fault.lasts_s)
        controller.resume()

    # ---- services ----------------------------------------------------------------------------

    async def _refuse_at_state(self, fault: Fault) -> None:
        name = self._target_controller(fault).name
        self._environment.state_service.refused_controllers.add(name)
        await asyncio.sleep(fault.lasts_s)
        self._environment.state_service.refused_controllers.discard(name)

    async def _state_outage(self, fault: Fault) -> None:
        self._environment.state_service.set_outage(True)
        await asyncio.sleep(fault.lasts_s)
        self._environment.state_service.set_outage(False)

    async def _cloud_outage(self, fault: Fault) -> None:
        self._environment.cloud.down = True
        await asyncio.sleep(fault.lasts_s)
        self._environment.cloud.down = False

    # ---- links -------------------------------------------------------------------------------

    async def _cut_links(self, links: set[frozenset[str]], lasts_s: float) -> None:
        cut = self._environment.faults.cut
        new = links - cut
        cut |= new
        await asyncio.sleep(lasts_s)
        cut -= new

    def _links_to_peers(self, name: str) -> set[frozenset[str]]:
        names = [controller.name for controller in self._environment.controllers]
        return {frozenset((name, other)) for other in names if other != name}

    async def _cut_from_state(self, fault: Fault) -> None:
        await self._cut_links(
            {frozenset((self._target_controller(fault).name, STATE))}, fault.lasts_s
        )

    async def _cut_from_peers(self, fault: Fault) -> None:
        await self._cut_links(
            self._links_to_peers(self._target_controller(fault).name), fault.lasts_s
        )

    async def _cut_from_state_and_peers(self, fault: Fault) -> None:
        name = self._target_controller(fault).name
        await self._cut_links(
            self._links_to_peers(name) | {frozenset((name, STATE))}, fault.lasts_s
        )

    def _delay_messages(self, attribute: str) -> FaultAction:
        async def apply(fault: Fault) -> None:
            setattr(self._environment.faults, attribute, MESSAGE_SHARE)
            await asyncio.sleep(fault.lasts_s)
            setattr(self._environment.faults, attribute, 0.0)

        return apply

    # ---- machines ----------------------------------------------------------------------------

    async def _machines_die(self, fault: Fault) -> None:
        for _ in range(1 + int(fault.target_draw * MAX_TERMINATED_MACHINES)):
            worker = self._target_worker(fault)
            if worker is not None:
                self._environment.cloud.remove(worker.name)

    def _set_worker_flag(self, attribute: str) -> FaultAction:
        async def apply(fault: Fault) -> None:
            worker: Any = self._target_worker(fault)
            if worker is None:
                return
            setattr(worker, attribute, True)
            await asyncio.sleep(fault.lasts_s)
            setattr(worker, attribute, False)

        return apply

    def _partition_machine(self, attribute: str) -> FaultAction:
        async def apply(fault: Fault) -> None:
            worker = self._target_worker(fault)
            if worker is None:
                return
            await self._partition(attribute, {worker.name}, fault.lasts_s)

        return apply

    async def _hold_commands(self, fault: Fault) -> None:
        """Hold direct commands to some machines. Their heartbeats are not affected."""
        loop, held_until = asyncio.get_running_loop(), self._environment.faults.commands_held_until
        workers = self._running_workers()
        first = int(fault.target_draw * len(workers))
        names = [worker.name for worker in workers[first : first + MAX_HELD_MACHINES]]
        held_until.update(dict.fromkeys(names, loop.time() + fault.lasts_s))
        await asyncio.sleep(fault.lasts_s)
        for name in names:
            held_until.pop(name, None)

    async def _zone_cut(self, fault: Fault) -> None:
        zones = sorted({worker.machine.zone for worker in self._running_workers()})
        if not zones:
            return
        zone = zones[int(fault.target_draw * len(zones))]
        names = {w.name for w in self._running_workers() if w.machine.zone == zone}
        await asyncio.gather(
            self._partition("not_receiving", names, fault.lasts_s),
            self._partition("not_sending", names, fault.lasts_s),
        )

    async def _partition(self, attribute: str, names: set[str], lasts_s: float) -> None:
        affected: set[str] = getattr(self._environment.faults, attribute)
        new = names - affected
        affected |= new
        await asyncio.sleep(lasts_s)
        affected -= new
