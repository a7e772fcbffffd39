"""What one round writes: the starts and stops that it decided, and what has ended meanwhile."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from petrelthread import protocol
from petrelthread.fleet import Fleet
from petrelthread.scheduling.start_validator import Start, StartValidator
from petrelthread.settings import State
from petrelthread.state import (
    STOP_MARKER,
    TASK_FINISHED,
    Attempt,
    ClusterState,
    FinishedTasksRecord,
    Job,
    Placement,
    RoundRecord,
    pack_finished_tasks,
    pack_round_records,
)
from petrelthread.store import KEY_PREFIX

CONDITIONS = 4  # of a transaction, for each change that it may make
FENCE = 3  # conditions that each claim has anyway: lead, epoch and its marker
KEPT_FOR_STARTS = 3  # changes of a transaction that the ends of jobs leave to the rest
VALUE_SHARE = 0.85  # of the largest value that the state service takes


@dataclass
class RoundClaim:
    """What one round writes in one transaction, and what follows once it is won."""

    stops: list[Attempt]
    operations: list[protocol.Operation] = field(default_factory=list)
    absent_keys: list[str] = field(default_factory=list)  # keys that must not exist
    marker: str | None = None  # the key that proves that the claim was applied
    completed: list[Job] = field(default_factory=list)
    done_number: int = 0
    done_record: FinishedTasksRecord = field(default_factory=list)
    rounds: list[tuple[int, RoundRecord]] = field(default_factory=list)  # number and record
    starts: list[Start] = field(default_factory=list)  # those that its rounds record
    suspects: dict[str, list[str]] = field(default_factory=dict)
    dropped: list[str] = field(default_factory=list)
    more: bool = False  # some of it had to wait for the next round


def _tasks_in(records: list[RoundRecord]) -> set[tuple[str, int]]:
    """Job and task of each start in the records of a round."""
    return {
        (tasks_of_job.job_id, task)
        for record in records
        for entry in record
        if not entry.is_stop
        for tasks_of_job in entry.jobs
        for task in tasks_of_job.tasks
    }


class ClaimBuilder:
    """Puts together the transaction of one round, within the limits of the state service."""

    def __init__(
        self,
        state: State,
        cluster_state: ClusterState,
        fleet: Fleet,
        check: StartValidator,
        next_number: Callable[[], int],
        spare_writes: Callable[[float], int],
        dead_keys: Sequence[str],
    ) -> None:
        """``spare_writes``: how many writes may go into cleaning up. ``dead_keys``: settled records
        besides those of rounds, to be dropped; others add to it."""
        self._cluster_state = cluster_state
        self._fleet = fleet
        self._check = check
        self._next_number = next_number
        self.spare_writes = spare_writes
        self._dead_keys = dead_keys
        self._value_most = int(state.value_kb * 1024 * VALUE_SHARE)
        self._ops_most = state.txn_ops

    def build(self, starts: list[Start], stops: list[Attempt], now: float) -> RoundClaim:
        """The claim for what a round decided; the last check of its starts is made here."""
        claim = RoundClaim(stops=stops)
        self._add_finished(claim)
        self._add_rounds(claim, starts)
        self._add_suspects(claim)
        self._add_clean_up(claim, now)
        return claim

    def _collect_finished(self) -> tuple[list[Job], dict[str, list[int]]]:
        """Jobs that are complete, and the finished tasks of the others."""
        completed: list[Job] = []
        partly: dict[str, list[int]] = {}
        for index, tasks in list(self._fleet.finished_tasks.items()):
            job = self._cluster_state.jobs[index]
            if job.final_status is not None:
                del self._fleet.finished_tasks[index]
                self._release_ended(job)
                continue
            # What another leader, or a claim of ours that we had given up, made durable meanwhile
            # counts as done already. Counted twice, it would make the job done too soon.
            tasks = {task for task in tasks if job.task_states[task] != TASK_FINISHED}
            if not tasks and job.done_count < job.task_count:
                del self._fleet.finished_tasks[index]
                continue
            self._fleet.finished_tasks[index] = tasks
            if job.done_count + len(tasks) >= job.task_count:
                completed.append(job)
            else:
                partly[job.id] = list(tasks)
        return completed, partly

    def _add_finished(self, claim: RoundClaim) -> None:
        completed, partly = self._collect_finished()
        # One key says that a job is complete, and stands for all its tasks.
        claim.completed = completed[: max(1, self._ops_most - KEPT_FOR_STARTS)]
        for job in claim.completed:
            claim.operations.append(
                protocol.PutOperation(f"{KEY_PREFIX}f/{job.id}", protocol.JobStatus.DONE)
            )
            claim.absent_keys.append(f"f/{job.id}")
        if partly:
            claim.done_record, _ = pack_finished_tasks(partly, self._value_most)
            claim.done_number = self._next_number()
            claim.marker = f"d/{claim.done_number}"
            claim.operations.append(
                protocol.PutOperation(KEY_PREFIX + claim.marker, claim.done_record)
            )

    def _add_rounds(self, claim: RoundClaim, starts: list[Start]) -> None:
        admitted, _ = self._check.admit(starts)
        wanted, cut = self._while_wanted(admitted, claim.absent_keys)
        most = max(1, self._ops_most - len(claim.operations))
        records = self._pack(wanted, claim.stops)
        # A gang starts whole or not at all: one whose starts would not all be in this claim waits
        # for the next. Without it the records are packed anew.
        while split := self._gangs_beyond(records, wanted, most):
            wanted = [start for start in wanted if start.job.id not in split]
            records, cut = self._pack(wanted, claim.stops), True
        for record in records[:most]:
            number = self._next_number()
            claim.rounds.append((number, record))
            claim.operations.append(protocol.PutOperation(f"{KEY_PREFIX}r/{number}", record))
            claim.marker = claim.marker or f"r/{number}"
        recorded = _tasks_in(records[:most])
        claim.starts = [start for start in wanted if (start.job.id, start.task) in recorded]
        claim.more = cut or len(claim.rounds) < len(records)

    def _pack(self, starts: list[Start], stops: list[Attempt]) -> list[RoundRecord]:
        entries = [Placement(m.name, m.incarnation, job.id, task) for job, task, m in starts]
        entries += [Placement(STOP_MARKER, 0, a.job.id, a.task) for a in stops]
        return pack_round_records(entries, self._value_most)

    @staticmethod
    def _gangs_beyond(records: list[RoundRecord], starts: list[Start], most: int) -> set[str]:
        """Gangs that would start without the tasks that stand in records beyond the first ``most``.

        A gang too large for a claim of its own is left as it is: it can't start otherwise.
        """
        beyond = {job_id for job_id, _ in _tasks_in(records[most:])}
        gangs = {start.job.id for start in starts if start.job.is_gang}
        alone = len({start.job.id for start in starts}) == 1
        return set() if alone else beyond & gangs

    def _add_suspects(self, claim: RoundClaim) -> None:
        suspects = self._fleet.job_failures.new_suspects()
        for job_id in list(suspects)[: max(0, self._ops_most - len(claim.operations))]:
            claim.suspects[job_id] = suspects[job_id]
            claim.operations.append(
                protocol.PutOperation(f"{KEY_PREFIX}s/{job_id}", suspects[job_id])
            )

    def _add_clean_up(self, claim: RoundClaim, now: float) -> None:
        """Settled records go only when the write rate has room to spare: a round that waits for its
        turn behind a clean-up keeps tasks waiting."""
        cluster_state = self._cluster_state
        dead = [f"r/{n}" for n in cluster_state.settled_rounds()] + [
            f"d/{n}" for n in cluster_state.obsolete_done_records()
        ]
        dead += [*self._dead_keys] + [
            f"s/{job_id}" for job_id in self._fleet.job_failures.cleared_suspects()
        ]
        written = len(claim.operations)
        room = min(self._ops_most - written, self.spare_writes(now) - written)
        claim.dropped = dead[: max(0, room)]
        claim.operations += [protocol.DeleteOperation(KEY_PREFIX + key) for key in claim.dropped]

    def _while_wanted(self, placements: list[Start], absent: list[str]) -> tuple[list[Start], bool]:
        """Claim starts only of jobs that nobody has called off, as far as one claim can say.

        A cancellation may be confirmed elsewhere a moment before the watch cache here shows it, and
        from then on no task of the job may start. Adds to ``absent``; True if some had to wait.
        """
        room = CONDITIONS * self._ops_most - len(absent) - FENCE
        jobs = dict.fromkeys(job.id for job, _, _ in placements)
        kept = set(list(jobs)[: max(1, room)])
        absent += [f"f/{job_id}" for job_id in jobs if job_id in kept]
        out = [placement for placement in placements if placement[0].id in kept]
        return out, len(out) < len(placements)

    def _release_ended(self, job: Job) -> None:
        for attempt in list(job.live_attempts.values()):
            if attempt.has_exited:
                self._cluster_state.release(attempt, done=True)
