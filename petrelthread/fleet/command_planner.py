"""The commands that a worker gets with the response to its heartbeat.

They also stop the tasks of a cancelled job: the response to a heartbeat that still lists such a
task contains a stop command. A leader adds it in ``for_heartbeat``; a controller that is failing
over or in its lease grace period adds it in ``stops_for_finished_jobs``. Starts of such a job that
a worker does not list yet are handled by ``unacknowledged_starts``.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

from petrelthread import protocol
from petrelthread.fleet.fleet import Fleet
from petrelthread.fleet.machine import Machine
from petrelthread.fleet.start_key import StartKey
from petrelthread.state import TASK_FINISHED, Attempt, Job, TaskKey, epoch_of

log = logging.getLogger(__name__)


class ListedTasks(NamedTuple):
    """The result of comparing the tasks that a worker lists with the recorded attempts."""

    commands: list[protocol.Command]
    recorded: set[TaskKey]  # listed tasks whose attempt is recorded for the machine


class CommandPlanner:
    """Compares the tasks that a heartbeat lists with those that the machine should run."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def stops_for_finished_jobs(
        self, heartbeat: protocol.WorkerHeartbeat
    ) -> list[protocol.Command]:
        """Return stop commands for listed tasks of jobs with a final status.

        They need no leadership, because a final status is durable and never changes.
        """
        commands: list[protocol.Command] = []
        for task_report in heartbeat.tasks:
            job_id, task = task_report.job_and_index
            job = self._fleet.cluster_state.jobs_by_id.get(job_id)
            if job is None:
                self._fleet.callbacks.on_unknown_job(job_id)
            elif task_report.state != protocol.TaskState.EXITED and job.final_status is not None:
                commands.append(_stop(job_id, task, task_report.attempt))
        return commands

    def for_heartbeat(
        self,
        machine: Machine,
        heartbeat: protocol.WorkerHeartbeat,
        now: float,
        may_start: bool,
    ) -> list[protocol.Command]:
        """Return the leader's commands for the heartbeat that has just been reconciled.

        They include starts only if ``may_start``, and if no direct command to the machine is in
        flight.

        Args:
            machine: The machine that sent the heartbeat.
            heartbeat: The machine's newest heartbeat.
            now: Event loop time.
            may_start: Whether this leader's view of cancellations is recent enough for starts.
        """
        commands, recorded = self._for_listed_tasks(machine, heartbeat, now)
        if may_start and not machine.commands_in_flight:
            commands += self._starts(machine, heartbeat, recorded, now)
        return commands

    def _for_listed_tasks(
        self, machine: Machine, heartbeat: protocol.WorkerHeartbeat, now: float
    ) -> ListedTasks:
        """Return stop commands for unwanted listed tasks, and forget commands for exited ones."""
        commands: list[protocol.Command] = []
        recorded: set[TaskKey] = set()
        attempts = self._fleet.attempts_on(machine)
        for task_report in heartbeat.tasks:
            job_id, task = task_report.job_and_index
            job = self._fleet.cluster_state.jobs_by_id.get(job_id)
            if job is None:
                # It finished long ago, or has not been read yet, so no command is safe.
                self._fleet.callbacks.on_unknown_job(job_id)
                continue
            attempt = attempts.get((job.index, task))
            if attempt is not None and attempt.number != task_report.attempt:
                attempt = None
            if attempt is not None:
                recorded.add((job.index, task))
            if task_report.state == protocol.TaskState.EXITED:
                key = StartKey(job.index, task, task_report.attempt)
                if self._is_settled(job, task, task_report, attempt) and self._may_forget(
                    machine, key, now
                ):
                    task_id = protocol.task_id(job_id, task)
                    commands.append(protocol.ForgetCommand(task_id, task_report.attempt))
                    log.debug(
                        "machine %s: forget %s attempt %d with token %d",
                        machine.name,
                        task_id,
                        task_report.attempt,
                        self._fleet.fencing_token,
                    )
            elif attempt is None or job.final_status is not None:
                commands.append(_stop(job_id, task, task_report.attempt))
            elif attempt.stop_requested_at:
                commands.append(_stop(job_id, task, attempt.number, job.grace_period_s))
        return ListedTasks(commands, recorded)

    def _may_forget(self, machine: Machine, start: StartKey, now: float) -> bool:
        """Whether no late direct command can start the attempt again once it is forgotten."""
        fleet = self._fleet
        if fleet.unacknowledged_starts.contains(machine.index, start):
            return False
        return fleet.executed_starts.may_forget(machine.index, start, fleet.fencing_token, now)

    @staticmethod
    def _is_settled(
        job: Job, task: int, task_report: protocol.TaskReport, attempt: Attempt | None
    ) -> bool:
        """Whether the listing of an exited task is no longer needed as evidence.

        Args:
            job: The task's job.
            task: The task's index.
            task_report: The exited task as the worker lists it.
            attempt: The recorded attempt; None if it is not recorded for this machine.
        """
        if task_report.exit_cause == protocol.ExitCause.DONE and not job.is_service:
            # A finished task stays listed until the result is durably recorded.
            return job.final_status is not None or job.task_states[task] == TASK_FINISHED
        return attempt is None

    def _starts(
        self,
        machine: Machine,
        heartbeat: protocol.WorkerHeartbeat,
        recorded: set[TaskKey],
        now: float,
    ) -> list[protocol.Command]:
        """Return starts of attempts not listed yet, and supersede those no longer wanted."""
        commands: list[protocol.Command] = []
        ignored = False
        for key, attempt in list(self._fleet.attempts_on(machine).items()):
            if key in recorded or not self._may_be_started(attempt, heartbeat.incarnation):
                continue
            if attempt.job.final_status is not None or attempt.stop_requested_at:
                if not self._fleet.late_command_may_start(attempt):
                    self._fleet.supersede(attempt, "not listed, no longer wanted")
                continue
            commands.append(
                protocol.StartCommand(
                    protocol.task_id(attempt.job.id, attempt.task), attempt.number
                )
            )
            ignored = ignored or attempt.start_delivered
            attempt.start_delivered = True
        if ignored:
            if not machine.ignored_starts:
                machine.ignored_starts_since = now
            machine.ignored_starts += 1
        return commands

    def _may_be_started(self, attempt: Attempt, incarnation: int) -> bool:
        """Whether the attempt is of this epoch and the given incarnation and has not exited."""
        return (
            attempt.incarnation == incarnation
            and not attempt.has_exited
            and epoch_of(attempt.number) == self._fleet.epoch
        )


def _stop(
    job_id: str, task: int, attempt_number: int, grace_period_s: float = 0
) -> protocol.StopCommand:
    return protocol.StopCommand(protocol.task_id(job_id, task), attempt_number, grace_period_s)
