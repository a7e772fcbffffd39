"""Attempts that may be running, by machine and by round, and the resources that they use."""

from __future__ import annotations

from petrelthread import protocol
from petrelthread.state.job import TASK_LIVE, TASK_PENDING, Attempt, Job, TaskKey
from petrelthread.state.operation_state import OperationState, transition
from petrelthread.state.usage import UsageTracker


class AttemptTable:
    """Keeps attempts, the states of their tasks, and the usage of resources consistent.

    Attributes:
        attempts_by_machine: attempts that may be running, by machine and by task; machines
            without attempts are absent.
        attempts_by_round: attempts that may be running, by number of the round's record, for all
            records that exist.
        usage: resources of the attempts that may be running.
    """

    def __init__(self) -> None:
        self.attempts_by_machine: dict[int, dict[TaskKey, Attempt]] = {}
        self.attempts_by_round: dict[int, set[Attempt]] = {}
        self.usage = UsageTracker()

    def add_attempt(
        self,
        number: int,
        job: Job,
        task: int,
        machine: int,
        incarnation: int,
        state: OperationState = OperationState.UNKNOWN,
    ) -> Attempt:
        """Add an attempt that may be running; it replaces the task's former one."""
        attempt = Attempt(number, job, task, machine, incarnation, state)
        job.live_attempts[task] = attempt
        if job.final_status is None:
            job.task_states[task] = TASK_LIVE
        on_machine = self.attempts_by_machine.setdefault(machine, {})
        replaced = on_machine.get((job.index, task))
        if replaced is not None and not replaced.has_exited:
            self.usage.remove(replaced)
        on_machine[job.index, task] = attempt
        self.usage.add(attempt)
        of_round = self.attempts_by_round.get(number)
        if of_round is None:
            of_round = self.attempts_by_round[number] = set()
        of_round.add(attempt)
        return attempt

    def release(self, attempt: Attempt, done: bool = False) -> None:
        """Remove an attempt that is certainly not running and will not run.

        Args:
            attempt: may have been removed before.
            done: its task has finished; else the task may be placed again.
        """
        job, task = attempt.job, attempt.task
        if attempt.state is not OperationState.SUPERSEDED and not done:
            transition(attempt, OperationState.SUPERSEDED)
        if job.live_attempts.get(task) is attempt:
            del job.live_attempts[task]
            if job.final_status is None and job.task_states[task] == TASK_LIVE:
                job.task_states[task] = TASK_PENDING
        on_machine = self.attempts_by_machine.get(attempt.machine)
        if on_machine is not None and on_machine.get((job.index, task)) is attempt:
            del on_machine[job.index, task]
            if not attempt.has_exited:
                self.usage.remove(attempt)
            if not on_machine:
                del self.attempts_by_machine[attempt.machine]
        of_round = self.attempts_by_round.get(attempt.number)
        if of_round is not None:
            of_round.discard(attempt)

    def set_reported_state(self, attempt: Attempt, status: str) -> str:
        """Note the task state that a worker reports; an exited attempt uses no resources.

        Returns:
            The state reported before.
        """
        before, attempt.reported_state = attempt.reported_state, status
        on_machine = self.attempts_by_machine.get(attempt.machine, {})
        if on_machine.get((attempt.job.index, attempt.task)) is attempt:
            if status == protocol.TaskState.EXITED and before != protocol.TaskState.EXITED:
                self.usage.remove(attempt)
            elif before == protocol.TaskState.EXITED and status != protocol.TaskState.EXITED:
                self.usage.add(attempt)
        return before

    def settle_unsent_round(self, number: int) -> None:
        """Note that a recorded round has no effect: it was not sent, or all of it has ended."""
        self.close_round(number)
        self.attempts_by_round[number] = set()

    def close_round(self, number: int) -> None:
        """Release all attempts of a round whose record was deleted."""
        for attempt in list(self.attempts_by_round.pop(number, ())):
            self.release(attempt)

    def settled_rounds(self) -> list[int]:
        """Numbers of the rounds' records that may be deleted: no attempt of theirs is left."""
        return [number for number, attempts in self.attempts_by_round.items() if not attempts]
