"""Emulated worker of a machine: heartbeats, lease and tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec
import orjson

from petrelthread import protocol
from petrelthread.emulator.environment import EmulatedEnvironment, MachineDescription
from petrelthread.http import ClientResponse, NoResponseError

STOPPED_CAUSE = "stopped"  # exit cause of a task that a command stopped
IMAGE_FETCH_S = 1.0
HANGING_POLL_S = 0.1  # interval at which a hanging worker checks whether it still hangs
HANG_S = 1000.0  # longer than any request timeout
HEARTBEAT_TIMEOUT_S = 4.0
RETRY_S = 1.0  # after a heartbeat without a usable response
REDIRECT_S = 0.2  # after a response that names the leader
HEARTBEAT_JITTER = (0.75, 1.25)  # smallest and largest factor of the heartbeat interval


@dataclass
class TaskRun:
    """An attempt of a task on a worker."""

    attempt: int
    state: protocol.TaskState
    changed_at: float
    exit_cause: str | None = None


class Worker:
    """Sends heartbeats, enforces its lease, and runs tasks for the duration the environment gives.

    While ``hanging`` is set the worker hangs; while ``faulty`` is set every started task fails.
    """

    def __init__(self, environment: EmulatedEnvironment, machine: MachineDescription) -> None:
        self._environment = environment
        self.machine = machine
        self.name = machine.name
        self.up = False
        self.terminated = False
        self.hanging = False
        self.faulty = False
        self.incarnation = 1
        self.sequence_number = 0
        self.fencing_token = 0
        self.tasks: dict[str, TaskRun] = {}  # the newest attempt of each task
        # Exited attempts of tasks that were started again here, by task, until they are forgotten.
        self.earlier_attempts: dict[str, dict[int, TaskRun]] = {}
        self.lease_renewed_at = 0.0  # when the last confirmed heartbeat was sent
        self.killed_by_lease = 0
        self._controller_index = 0  # of the controller that gets the heartbeats
        self.main_task = asyncio.create_task(self._run())

    def kill(self) -> None:
        """Terminate the worker and its tasks together with the machine."""
        self.terminated = True
        self._environment.network.detach(self.machine.address)
        self.main_task.cancel()
        self._kill_all()

    def enforce_lease(self) -> None:
        """Kill all tasks if the lease has expired.

        The worker does this before it advances its tasks. The invariant checker also calls it while
        the worker hangs, since the worker does the same first when it resumes.
        """
        now = self._now()
        if self.up and now - self.lease_renewed_at > self._environment.workers.lease_s:
            running = [run for run in self.tasks.values() if run.state != protocol.TaskState.EXITED]
            self.killed_by_lease += len(running)
            self._kill_all()
            self.incarnation += 1
            self.lease_renewed_at = now

    def restart(self, next_incarnation: bool = True) -> None:
        """Come back after a restart without tasks, but with the stored numbers and token.

        Args:
            next_incarnation: Whether the worker takes the loss of its tasks for the end of its
                incarnation, although its lease has not expired.
        """
        self._environment.checker.record_restart(self.name)
        self._kill_all()
        self.incarnation += next_incarnation
        self.lease_renewed_at = self._now()

    def _kill_all(self) -> None:
        for task, run in self.tasks.items():
            if run.state != protocol.TaskState.EXITED:
                self._record_end(task)
        self._forget_all()

    def heartbeat(self) -> dict[str, Any]:
        """Build the next heartbeat, with a higher sequence number than the last."""
        self.sequence_number += 1
        tasks = [
            {"leg": task, "try": run.attempt, "status": run.state, "cause": run.exit_cause}
            for task, run in self._known_attempts()
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
        """Handle a direct command or a request for a heartbeat."""
        while self.hanging:
            await asyncio.sleep(HANGING_POLL_S)
        if self.terminated:
            await asyncio.sleep(HANG_S)
        if target == protocol.COMMAND_PATH:
            if body["baton"] < self.fencing_token or body["flight"] != self.incarnation:
                return HTTPStatus.CONFLICT, self.heartbeat()
            self.fencing_token = body["baton"]
            self._execute(body["orders"])
        return HTTPStatus.OK, self.heartbeat()

    def end_task(self, task: str, run: TaskRun, cause: str) -> None:
        """Make a task exit with the given cause."""
        if run.state == protocol.TaskState.RUNNING:
            self._record_end(task)
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
        environment.network.attach(self.machine.address, self.name, self.handle)
        environment.background(self._send_heartbeats())
        while not self.terminated:
            await asyncio.sleep(environment.deployment.step_s)
            if not self.hanging:
                self._advance_tasks()

    def _advance_tasks(self) -> None:
        self.enforce_lease()
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
            run = self._find_attempt(command.task_id, command.attempt)
            if run is None:
                continue
            has_ended = run.state == protocol.TaskState.EXITED
            if isinstance(command, protocol.StopCommand) and not has_ended:
                self.end_task(command.task_id, run, STOPPED_CAUSE)
            elif isinstance(command, protocol.ForgetCommand) and has_ended:
                self._forget(command.task_id, command.attempt)

    def _accept_start(self, command: protocol.StartCommand) -> None:
        task = command.task_id
        if self._find_attempt(task, command.attempt) is not None:
            return  # a duplicate of a command that was carried out
        run = self.tasks.get(task)
        if run is not None:
            if run.state != protocol.TaskState.EXITED:
                return
            self.earlier_attempts.setdefault(task, {})[run.attempt] = run
        self.tasks[task] = TaskRun(command.attempt, protocol.TaskState.FETCHING, self._now())
        self._environment.checker.record_start_command(
            task, command.attempt, self.name, self.fencing_token
        )

    # ---- known attempts ----------------------------------------------------------------------

    def _known_attempts(self) -> Iterator[tuple[str, TaskRun]]:
        """All attempts that the worker lists: it knows each one until it is told to forget it."""
        for task, attempts in self.earlier_attempts.items():
            for run in attempts.values():
                yield task, run
        yield from self.tasks.items()

    def _find_attempt(self, task: str, attempt: int) -> TaskRun | None:
        newest = self.tasks.get(task)
        if newest is not None and newest.attempt == attempt:
            return newest
        return self.earlier_attempts.get(task, {}).get(attempt)

    def _forget(self, task: str, attempt: int) -> None:
        newest = self.tasks.get(task)
        if newest is not None and newest.attempt == attempt:
            del self.tasks[task]
            return
        attempts = self.earlier_attempts[task]
        del attempts[attempt]
        if not attempts:
            del self.earlier_attempts[task]

    def _forget_all(self) -> None:
        self.tasks.clear()
        self.earlier_attempts.clear()

    # ---- heartbeats --------------------------------------------------------------------------

    async def _send_heartbeats(self) -> None:
        request = self._environment.network.requester(self.name)
        controllers = self._environment.deployment.nodes
        while not self.terminated:
            if self.hanging:
                await asyncio.sleep(HANGING_POLL_S)
                continue
            sent_at, incarnation = self._now(), self.incarnation
            address = self._environment.public_address(controllers[self._controller_index])
            try:
                response = await request(
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
            await asyncio.sleep(self._handle_response(response, sent_at, incarnation))

    def _handle_response(self, response: ClientResponse, sent_at: float, incarnation: int) -> float:
        """Process the response to a heartbeat. Returns the pause in seconds before the next one."""
        content = orjson.loads(response.body)
        if response.status == HTTPStatus.OK:
            token = content["baton"]
            is_current = token >= self.fencing_token and incarnation == self.incarnation
            if is_current and not self.terminated:
                self.fencing_token = token
                self.lease_renewed_at = sent_at
                self._execute(content["orders"])
            jitter = self._environment.random.uniform(*HEARTBEAT_JITTER)
            return self._environment.workers.report_s * jitter
        controllers = self._environment.deployment.nodes
        leader = content.get("home")
        if response.status == HTTPStatus.MISDIRECTED_REQUEST and leader in controllers:
            self._controller_index = controllers.index(leader)
            return REDIRECT_S
        self._try_next_controller()
        return RETRY_S

    def _try_next_controller(self) -> None:
        self._controller_index = (self._controller_index + 1) % len(
            self._environment.deployment.nodes
        )

    # ---- helpers -----------------------------------------------------------------------------

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _record_end(self, task: str) -> None:
        self._environment.checker.record_end(task, self.name)
