"""Table of the attempts that may be running, and the resources that they use."""

from __future__ import annotations

from petrelthread import protocol
from petrelthread.state.job import TASK_LIVE, TASK_PENDING, Attempt, Job, TaskKey
from petrelthread.state.operation_state import OperationState, transition
from petrelthread.state.usage import UsageTracker


class AttemptTable:
    """Keeps attempts, task states and resource usage consistent with each other.

    Attributes:
        attempts_by_machine: attempts that may be running, by machine and by task; machines
            without attempts are absent.
        attempts_by_round: attempts that may be running, by number of the round's record; every
            existing record has an entry.
        usage: resources used by the attempts that may be running, except exited ones.
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
        """Add an attempt that may be running; it replaces the task's previous attempt."""
        attempt = Attempt(number, job, task, machine, incarnation, state)
        job.live_attempts[task] = attempt
        if job.final_status is None:
            job.task_states[task] = TASK_LIVE
        machine_attempts = self.attempts_by_machine.setdefault(machine, {})
        replaced = machine_attempts.get((job.index, task))
        if replaced is not None and not replaced.has_exited:
            self.usage.remove(replaced)
        machine_attempts[job.index, task] = attempt
        self.usage.add(attempt)
        round_attempts = self.attempts_by_round.get(number)
        if round_attempts is None:
            round_attempts = self.attempts_by_round[number] = set()
        round_attempts.add(attempt)
        return attempt

    def release(self, attempt: Attempt, task_finished: bool = False) -> None:
        """Remove an attempt that is known not to run now or later.

        Args:
            attempt: the attempt; removing it twice has no effect.
            task_finished: whether its task has finished; otherwise the task may be placed again.
        """
        job, task = attempt.job, attempt.task
        if attempt.state is not OperationState.SUPERSEDED and not task_finished:
            transition(attempt, OperationState.SUPERSEDED)
        if job.live_attempts.get(task) is attempt:
            del job.live_attempts[task]
            if job.final_status is None and job.task_states[task] == TASK_LIVE:
                job.task_states[task] = TASK_PENDING
        machine_attempts = self.attempts_by_machine.get(attempt.machine)
        if machine_attempts is not None and machine_attempts.get((job.index, task)) is attempt:
            del machine_attempts[job.index, task]
            if not attempt.has_exited:
                self.usage.remove(attempt)
            if not machine_attempts:
                del self.attempts_by_machine[attempt.machine]
        round_attempts = self.attempts_by_round.get(attempt.number)
        if round_attempts is not None:
            round_attempts.discard(attempt)

    def set_reported_state(self, attempt: Attempt, status: str) -> str:
        """Set the task state that a worker reports; an exited attempt uses no resources.

        Returns:
            The previously reported state.
        """
        previous, attempt.reported_state = attempt.reported_state, status
        machine_attempts = self.attempts_by_machine.get(attempt.machine, {})
        if machine_attempts.get((attempt.job.index, attempt.task)) is attempt:
            if status == protocol.TaskState.EXITED and previous != protocol.TaskState.EXITED:
                self.usage.remove(attempt)
            elif previous == protocol.TaskState.EXITED and status != protocol.TaskState.EXITED:
                self.usage.add(attempt)
        return previous

    def settle_round(self, number: int) -> None:
        """Release all attempts of a round that was not sent or was settled; keep its entry."""
        self.remove_round(number)
        self.attempts_by_round[number] = set()

    def remove_round(self, number: int) -> None:
        """Remove a round whose record was deleted, and release all its attempts."""
        for attempt in list(self.attempts_by_round.pop(number, ())):
            self.release(attempt)

    def settled_rounds(self) -> list[int]:
        """Numbers of the rounds' records that may be deleted, as they have no attempts left."""
        return [number for number, attempts in self.attempts_by_round.items() if not attempts]
