"""Emulated worker of a machine: heartbeats, lease and tasks."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec
import orjson

from petrelthread import protocol
from petrelthread.emulator.environment import MachineDescription, SimulatedEnvironment
from petrelthread.http import ClientResponse, NoResponseError

STOPPED_CAUSE = "stopped"  # exit cause of a task that was told to stop
IMAGE_FETCH_S = 1.0
FROZEN_POLL_S = 0.1  # how often a hanging worker looks whether it may go on
HANG_S = 1000.0  # longer than any timeout
HEARTBEAT_TIMEOUT_S = 4.0
RETRY_S = 1.0  # after a heartbeat without a usable answer
REDIRECT_S = 0.2  # after being told who the leader is
HEARTBEAT_JITTER = (0.75, 1.25)  # factors of the interval


@dataclass
class TaskRun:
    """One attempt on a worker."""

    attempt: int
    state: protocol.TaskState
    changed_at: float
    exit_cause: str | None = None


class Worker:
    """Sends heartbeats, keeps its lease, and runs tasks as long as the environment says.

    ``frozen`` makes it hang, ``faulty`` makes every task fail.
    """

    def __init__(self, environment: SimulatedEnvironment, machine: MachineDescription) -> None:
        self._environment = environment
        self.machine = machine
        self.name = machine.name
        self.up = False
        self.dead = False
        self.frozen = False
        self.faulty = False
        self.incarnation = 1
        self.sequence_number = 0
        self.fencing_token = 0
        self.tasks: dict[str, TaskRun] = {}
        self.lease_renewed_at = 0.0  # when the last heartbeat that was answered was sent
        self.killed_by_lease = 0
        self._controller = 0  # index of the one that gets the heartbeats
        self.main_task = asyncio.create_task(self._run())

    def kill(self) -> None:
        """The machine is gone."""
        self.dead = True
        self._environment.net.detach(self.machine.address)
        self.main_task.cancel()
        for task in list(self.tasks):
            self._record_leave(task)
        self.tasks.clear()

    def expire(self) -> None:
        """Kill all tasks if the lease has expired.

        Called before anything else looks at the tasks, also while the worker hangs: when it goes
        on, this is the first that it does.
        """
        now = self._now()
        if self.up and now - self.lease_renewed_at > self._environment.workers.lease_s:
            for task, run in self.tasks.items():
                if run.state != protocol.TaskState.EXITED:
                    self.killed_by_lease += 1
                    self._record_leave(task)
            self.tasks.clear()
            self.incarnation += 1
            self.lease_renewed_at = now

    def heartbeat(self) -> dict[str, Any]:
        """The next heartbeat; each has a higher sequence number."""
        self.sequence_number += 1
        tasks = [
            {"leg": task, "try": run.attempt, "status": run.state, "cause": run.exit_cause}
            for task, run in self.tasks.items()
        ]
        return {
            "perch": self.name,
            "addr": self.machine.address,
            "hull": self.machine.machine_type,
            "roost": self.machine.zone,
            "driftwood": self.machine.spot,
            "flight": self.incarnation,
            "tick": self.sequence_number,
            "baton": self.fencing_token,
            "warning_s": None,
            "legs": tasks,
        }

    async def handle(self, _source: str, _method: str, target: str, body: Any) -> tuple[int, Any]:
        """Serve a direct command or a request for the heartbeat."""
        while self.frozen:
            await asyncio.sleep(FROZEN_POLL_S)
        if self.dead:
            await asyncio.sleep(HANG_S)
        if target == protocol.COMMAND_PATH:
            if body["baton"] < self.fencing_token or body["flight"] != self.incarnation:
                return HTTPStatus.CONFLICT, self.heartbeat()
            self.fencing_token = body["baton"]
            self._execute(body["orders"])
        return HTTPStatus.OK, self.heartbeat()

    def end_task(self, task: str, run: TaskRun, cause: str) -> None:
        """End a task with the given cause."""
        if run.state == protocol.TaskState.RUNNING:
            self._record_leave(task)
        run.state = protocol.TaskState.EXITED
        run.exit_cause = cause
        if cause == protocol.ExitCause.DONE:
            self._environment.checker.record_completion(task)

    # ---- tasks -------------------------------------------------------------------------------

    async def _run(self) -> None:
        environment = self._environment
        boot_s = environment.deployment.machine_types[0]["startup_s"]
        await asyncio.sleep(boot_s + environment.boot_delay_s)
        self.up = True
        self.lease_renewed_at = self._now()
        environment.net.attach(self.machine.address, self.name, self.handle)
        environment.background(self._send_heartbeats())
        while not self.dead:
            await asyncio.sleep(environment.deployment.step_s)
            if not self.frozen:
                self._advance_tasks()

    def _advance_tasks(self) -> None:
        self.expire()
        now = self._now()
        for task, run in self.tasks.items():
            is_fetching = run.state == protocol.TaskState.FETCHING
            is_running = run.state == protocol.TaskState.RUNNING
            if is_fetching and now >= run.changed_at + IMAGE_FETCH_S:
                self._start_task(task, run, now)
            elif is_running and now >= run.changed_at + self._environment.task_run_s(task):
                self.end_task(task, run, protocol.ExitCause.DONE)

    def _start_task(self, task: str, run: TaskRun, now: float) -> None:
        run.state = protocol.TaskState.RUNNING
        run.changed_at = now
        self._environment.checker.record_start(task, self.machine, now)
        if self.faulty or self._environment.task_fails(task):
            self.end_task(task, run, protocol.ExitCause.ERROR)

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        """Carry out commands in order."""
        for command in msgspec.convert(orders, list[protocol.Command]):
            if isinstance(command, protocol.StartCommand):
                self._accept_start(command)
                continue
            run = self.tasks.get(command.task_id)
            if run is None or run.attempt != command.attempt:
                continue
            has_ended = run.state == protocol.TaskState.EXITED
            if isinstance(command, protocol.StopCommand) and not has_ended:
                self.end_task(command.task_id, run, STOPPED_CAUSE)
            elif isinstance(command, protocol.ForgetCommand) and has_ended:
                del self.tasks[command.task_id]

    def _accept_start(self, command: protocol.StartCommand) -> None:
        task = command.task_id
        run = self.tasks.get(task)
        if run is not None and run.attempt == command.attempt:
            return  # a repeated command
        if run is not None and run.state != protocol.TaskState.EXITED:
            return
        self.tasks[task] = TaskRun(command.attempt, protocol.TaskState.FETCHING, self._now())
        self._environment.checker.record_start_command(task, self.name, self.fencing_token)

    # ---- heartbeats --------------------------------------------------------------------------

    async def _send_heartbeats(self) -> None:
        request = self._environment.net.requester(self.name)
        controllers = self._environment.deployment.nodes
        while not self.dead:
            if self.frozen:
                await asyncio.sleep(FROZEN_POLL_S)
                continue
            sent_at, incarnation = self._now(), self.incarnation
            address = self._environment.public_address(controllers[self._controller])
            try:
                reply = await request(
                    address,
                    "POST",
                    protocol.HEARTBEAT_PATH,
                    self.heartbeat(),
                    timeout=HEARTBEAT_TIMEOUT_S,
                )
            except NoResponseError:
                self._try_next_controller()
                await asyncio.sleep(RETRY_S)
                continue
            await asyncio.sleep(self._handle_reply(reply, sent_at, incarnation))

    def _handle_reply(self, reply: ClientResponse, sent_at: float, incarnation: int) -> float:
        """Act on the answer to a heartbeat. Returns the pause until the next one."""
        answer = orjson.loads(reply.body)
        if reply.status == HTTPStatus.OK:
            token = answer["baton"]
            is_current = token >= self.fencing_token and incarnation == self.incarnation
            if is_current and not self.dead:
                self.fencing_token = token
                self.lease_renewed_at = sent_at
                self._execute(answer["orders"])
            jitter = self._environment.random.uniform(*HEARTBEAT_JITTER)
            return self._environment.workers.report_s * jitter
        controllers = self._environment.deployment.nodes
        leader = answer.get("home")
        if reply.status == HTTPStatus.MISDIRECTED_REQUEST and leader in controllers:
            self._controller = controllers.index(leader)
            return REDIRECT_S
        self._try_next_controller()
        return RETRY_S

    def _try_next_controller(self) -> None:
        self._controller = (self._controller + 1) % len(self._environment.deployment.nodes)

    # ---- helpers -----------------------------------------------------------------------------

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _record_leave(self, task: str) -> None:
        self._environment.checker.record_leave(task, self.name)
