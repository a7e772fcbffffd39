"""What a worker is told with the answer to its report."""

from __future__ import annotations

from petrelthread import protocol
from petrelthread.fleet.fleet import Fleet
from petrelthread.fleet.machine import Machine
from petrelthread.fleet.unacknowledged_starts import StartKey, key_of
from petrelthread.state import TASK_FINISHED, Attempt, Job, epoch_of


class CommandPlanner:
    """Compares what a report shows with what the cluster state wants on the machine."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def _unwanted(self, attempt: Attempt) -> bool:
        return attempt.job.final_status is not None

    def stops_for_finished_jobs(
        self, heartbeat: protocol.WorkerHeartbeat
    ) -> list[protocol.Command]:
        """Only what needs no right to command: a final state is durable and never changes."""
        out: list[protocol.Command] = []
        for leg in heartbeat.tasks:
            job_id, task = leg.job_and_index
            job = self._fleet.cluster_state.jobs_by_id.get(job_id)
            if (
                leg.state != protocol.TaskState.EXITED
                and job is not None
                and job.final_status is not None
            ):
                out.append(protocol.StopCommand(protocol.task_id(job_id, task), leg.attempt, 0))
        return out

    def for_heartbeat(
        self,
        machine: Machine,
        heartbeat: protocol.WorkerHeartbeat,
        now: float,
        starting: bool = True,
    ) -> list[protocol.Command]:
        """What the worker has to be told, given the report just taken in.

        ``starting``: it is known what was cancelled until a moment ago; else nothing is started.
        """
        out, listed = self._for_shown(machine, heartbeat)
        if not machine.commands_in_flight and starting:
            out += self._starts(machine, heartbeat, listed, now)
        return out

    def _for_shown(
        self, machine: Machine, report: protocol.WorkerHeartbeat
    ) -> tuple[list[protocol.Command], set[tuple[int, int]]]:
        """Commands for what the report shows, and which of our attempts are among that."""
        out: list[protocol.Command] = []
        listed: set[tuple[int, int]] = set()
        there = self._fleet.attempts_on(machine)
        for leg in report.tasks:
            job_id, task = leg.job_and_index
            job = self._fleet.cluster_state.jobs_by_id.get(job_id)
            attempt = None if job is None else there.get((job.index, task))
            ours = attempt is not None and attempt.number == leg.attempt
            if job is not None and ours:
                listed.add((job.index, task))
            if leg.state == protocol.TaskState.EXITED:
                if self._may_forget(machine, job, task, leg, ours):
                    out.append(protocol.ForgetCommand(protocol.task_id(job_id, task), leg.attempt))
            elif job is None:
                continue  # never told to us: nothing is known that would justify a stop
            elif not ours or attempt is None or self._unwanted(attempt):
                out.append(protocol.StopCommand(protocol.task_id(job_id, task), leg.attempt, 0))
            elif attempt.stop_requested_at:
                out.append(
                    protocol.StopCommand(
                        protocol.task_id(job_id, task), leg.attempt, attempt.job.grace_period_s
                    )
                )
        return out, listed

    def _starts(
        self,
        machine: Machine,
        report: protocol.WorkerHeartbeat,
        listed: set[tuple[int, int]],
        now: float,
    ) -> list[protocol.Command]:
        """Starts of this epoch that the worker does not show yet."""
        out: list[protocol.Command] = []
        again = False
        for key, attempt in list(self._fleet.attempts_on(machine).items()):
            if key in listed or attempt.incarnation != report.incarnation or attempt.has_exited:
                continue
            if epoch_of(attempt.number) != self._fleet.epoch:
                continue
            if self._unwanted(attempt) or attempt.stop_requested_at:
                if not self._fleet.unacknowledged_starts.holds(machine.index, key_of(attempt)):
                    self._fleet.supersede(attempt, "never shown, no longer wanted")
                continue
            out.append(
                protocol.StartCommand(
                    protocol.task_id(attempt.job.id, attempt.task), attempt.number
                )
            )
            again = again or attempt.start_delivered
            attempt.start_delivered = True
        if again:
            if not machine.ignored_starts:
                machine.ignored_starts_since = now
            machine.ignored_starts += 1
        return out

    def _may_forget(
        self, machine: Machine, job: Job | None, task: int, leg: protocol.TaskReport, ours: bool
    ) -> bool:
        if job is None:
            return False  # the cluster state may lag; a job that never was does not reach a worker
        if self._fleet.unacknowledged_starts.holds(
            machine.index, StartKey(job.index, task, leg.attempt)
        ):
            return False  # a late direct command would start it again
        if leg.exit_cause == protocol.ExitCause.DONE and not job.is_service:
            # Forgotten only once it is durable.
            return job.final_status is not None or job.task_states[task] == TASK_FINISHED
        return not ours
