"""The leader's table of machines: reports come in, evidence and orders come out."""

from __future__ import annotations

import logging
from collections.abc import Collection

from petrelthread import protocol
from petrelthread.fleet.callbacks import NO_CALLBACKS, FleetCallbacks
from petrelthread.fleet.job_failures import JobFailures
from petrelthread.fleet.machine import Health, Machine
from petrelthread.fleet.unacknowledged_starts import StartKey, UnacknowledgedStarts, key_of
from petrelthread.state import (
    TASK_FINISHED,
    TASK_PENDING,
    Attempt,
    ClusterState,
    Job,
    OperationState,
    epoch_of,
    transition,
)

log = logging.getLogger(__name__)

CLOCK_DRIFT_FACTOR = 1.002
NO_EPOCH = -1  # of a controller that does not lead
BEFORE_RUNNING = ("", protocol.TaskState.FETCHING, protocol.TaskState.GATHERING)
MAX_IGNORED_STARTS = 3  # reports in a row without what they were told to start: it hears nothing
REPLICA_STABLE_AFTER_S = (
    8.0  # a replica never completes: one that has run so long shows that it can
)


class Fleet:
    """All on the leader: nothing here is durable, everything can be read from the workers again."""

    def __init__(
        self,
        cluster_state: ClusterState,
        lease_s: float,
        heartbeat_interval_s: float,
        lease_grace_s: float,
        callbacks: FleetCallbacks = NO_CALLBACKS,
    ) -> None:
        self.cluster_state = cluster_state
        self.lease_s = lease_s
        self.heartbeat_interval_s = heartbeat_interval_s
        self.lease_grace_s = lease_grace_s
        self.machines: dict[int, Machine] = {}
        self.machines_with_notice: dict[
            int, Machine
        ] = {}  # machines that the cloud has said it will take
        self.job_failures = JobFailures(cluster_state, self.machines)
        self.finished_tasks: dict[int, set[int]] = {}  # done, not yet durable: job to tasks
        self.unacknowledged_starts = UnacknowledgedStarts(
            lease_s, lease_grace_s, callbacks.state_current_as_of
        )
        self.epoch = 0  # with which this controller was elected
        self.fencing_token = 0  # what commands and answers carry: the epoch, or raised since
        self.elected_at = 0.0
        self.resumed_at = float("-inf")  # since when this process has not stood still
        self.callbacks = callbacks

    # ---- machines --------------------------------------------------------------------------

    def get_or_add(self, name: str, now: float) -> Machine:
        index = self.cluster_state.names.machines.index(name)
        found = self.machines.get(index)
        if found is None:
            found = self.machines[index] = Machine(
                index, name, now, self.cluster_state.usage.changed_machines
            )
        return found

    def find(self, name: str) -> Machine | None:
        index = self.cluster_state.names.machines.find(name)
        return None if index is None else self.machines.get(index)

    def attempts_on(self, machine: Machine) -> dict[tuple[int, int], Attempt]:
        return self.cluster_state.attempts_by_machine.get(machine.index, {})

    def is_schedulable(self, machine: Machine) -> bool:
        """May be given work: it has heard us in this epoch, or was rented in it."""
        ours = machine.acknowledged_epoch == self.epoch or machine.scale_out_key.startswith(
            f"c/{self.epoch}-"
        )
        return machine.accepts_work and ours

    def step_down(self) -> None:
        """This controller leads no more: what still comes for its epoch is not to be taken in."""
        self.epoch = NO_EPOCH

    def fail_over(self, epoch: int, now: float, recorded_machines: Collection[str] = ()) -> None:
        """Everything known before is hearsay now, until workers have reported again.

        ``recorded``: machines that rentals and returns name. Others, if there are any, report or
        are listed. A leader that had led before counted 120 machines, long since returned by
        others, as its capacity, and gave back those that had come up since as never up.
        """
        self.epoch = self.fencing_token = epoch
        self.elected_at = now
        self.finished_tasks.clear()  # workers report again what is not durable
        self.job_failures.fail_over(now)
        for index in self.cluster_state.attempts_by_machine:
            self.get_or_add(self.cluster_state.names.machines.name(index), now)
        for machine in list(self.machines.values()):
            known = (
                machine.name in recorded_machines
                or machine.index in self.cluster_state.attempts_by_machine
            )
            if machine.health is Health.TERMINATED or not known:
                del self.machines[machine.index]
                self.machines_with_notice.pop(machine.index, None)
                continue
            machine.last_seen_at = machine.registered_at = now
            machine.idle_since = now
            machine.failed_reads = 0
            machine.commands_in_flight = 0
            if (
                machine.health is Health.BOOTING
                and machine.index in self.cluster_state.attempts_by_machine
            ):
                machine.transition(Health.UP)  # it ran work, so it was up; now it has to be heard
            for attempt in self.attempts_on(machine).values():
                if attempt.state in (OperationState.CONFIRMED, OperationState.DISPATCHING):
                    transition(attempt, OperationState.UNKNOWN)

    def lease_expires_at(self, machine: Machine) -> float:
        """When the lease of the machine's worker has surely run out, if it stays silent.

        Before this leader heard the worker, an older one may have answered it until its own
        hold-over ended, and that began before this leader was elected.
        """
        if machine.acknowledged_epoch == self.epoch:
            last = machine.lease_renewed_at
        else:
            # A report, perhaps a late copy, does not show that the worker has heard us: an older
            # leader that lost only the state service may still be renewing its lease.
            last = max(self.elected_at + self.lease_grace_s, machine.lease_renewed_at)
        # A session that nobody has renewed lasts a lease from its beginning, however long ago the
        # one before was answered: a machine that reaches no controller goes from one to the next.
        return max(last, machine.incarnation_seen_at) + self.lease_s * CLOCK_DRIFT_FACTOR + 0.5

    def note_start_sent(self, attempt: Attempt, machine: Machine, now: float) -> None:
        """A direct command with the present token starts the attempt from now on, or never."""
        heard = machine.acknowledged_epoch == self.epoch
        # A machine of ours that has not heard us yet may still be answered by the leader before.
        renewed_at = now if heard else max(now, self.elected_at + self.lease_grace_s)
        self.unacknowledged_starts.on_sent(
            attempt, machine.name, self.fencing_token, now, renewed_at
        )

    def mark_lost(self, machine: Machine, reason: str) -> int:
        """The machine's tasks are surely gone."""
        gone = list(self.attempts_on(machine).values())
        for attempt in gone:
            self.supersede(attempt, reason)
        self.unacknowledged_starts.on_incarnation_ended(machine.index, reason)
        return len(gone)

    def supersede(self, attempt: Attempt, reason: str) -> None:
        """The attempt is surely over; its task may start elsewhere."""
        log.info(
            "operation superseded: start of %s/%d attempt %d: %s",
            attempt.job.id,
            attempt.task,
            attempt.number,
            reason,
        )
        self._credit_checkpoint(attempt, stopped=False)
        self.cluster_state.release(attempt)
        self.callbacks.on_change()

    def _credit_checkpoint(self, attempt: Attempt, stopped: bool) -> None:
        """What checkpoints keep of the attempt: only the rest of the task is still to run."""
        job, machine = attempt.job, self.machines.get(attempt.machine)
        if job.checkpoint_interval_s <= 0 or not attempt.running_at or machine is None:
            return
        ran_s = machine.last_message_at - attempt.running_at
        kept_s = ran_s if stopped else ran_s - job.lost_work_s(ran_s, stopped=False)
        if kept_s > 0:
            job.checkpointed_s[attempt.task] = job.checkpointed_s.get(attempt.task, 0.0) + kept_s
        attempt.running_at = 0.0  # counted

    def hosts_replicas(self, machine: Machine) -> bool:
        """Replicas of services are on it: each second that their loss goes unnoticed is lost."""
        return any(
            a.job.is_service and not a.has_exited for a in self.attempts_on(machine).values()
        )

    # ---- reports ---------------------------------------------------------------------------

    def on_heartbeat(
        self, heartbeat: protocol.WorkerHeartbeat, now: float, answered: bool
    ) -> Machine | None:
        """Take in what a worker says. ``answered``: its lease is renewed by our response.

        Returns None for a report older than one seen already: its task list proves nothing.
        """
        names = self.cluster_state.names
        machine = self.get_or_add(heartbeat.host, now)
        if (heartbeat.incarnation, heartbeat.sequence_number) <= (
            machine.incarnation,
            machine.sequence_number,
        ):
            # Older than what is known, perhaps a copy. It was sent before the newest one came, so
            # an answer to it renews the lease to no later than from then on.
            if answered:
                machine.lease_renewed_at = max(machine.lease_renewed_at, machine.last_message_at)
            return None
        if machine.health is Health.TERMINATED:
            return None  # the cloud said so; this is a late message
        if answered:
            self._note_lease_renewed(machine, now)
        if heartbeat.incarnation > machine.incarnation:
            if machine.incarnation:
                self._begin_incarnation(machine, heartbeat.incarnation, now)
            machine.incarnation_seen_at = now
        if not machine.incarnation or (heartbeat.fencing_token >= self.epoch and answered):
            # Only who knows our epoch is surely alive: copies of reports from before the election
            # do not. A worker not yet known gets as long as silence may last to show it. Answers
            # to commands are no sign of life: from a machine that reaches no controller they come
            # as well, and its lease runs out.
            machine.last_seen_at = now
            machine.failed_probes = 0
        if heartbeat.fencing_token >= self.epoch:
            if not answered and machine.acknowledged_epoch != self.epoch:
                # It has just taken our token from a command: until then an older leader may have
                # renewed its lease, and nobody can any more.
                machine.lease_renewed_at = machine.renewed_without_gap_since = now
            machine.acknowledged_epoch = self.epoch
            machine.failed_reads = 0
        if answered:
            machine.answered_epoch = self.epoch
        machine.last_message_at = now
        machine.incarnation, machine.sequence_number = (
            heartbeat.incarnation,
            heartbeat.sequence_number,
        )
        machine.highest_token = max(machine.highest_token, heartbeat.fencing_token)
        machine.address = heartbeat.address or machine.address
        if heartbeat.machine_type:
            machine.machine_type = names.machine_types.index(heartbeat.machine_type)
        if heartbeat.zone:
            machine.zone = names.zones.index(heartbeat.zone)
        machine.spot = heartbeat.spot
        self._update_health(machine, heartbeat, now, answered)
        self.unacknowledged_starts.on_token_acknowledged(machine.index, machine.highest_token)
        self._reconcile_tasks(machine, heartbeat, now)
        self._detect_one_way_partition(machine, now)
        return machine

    def _note_lease_renewed(self, machine: Machine, now: float) -> None:
        if now - machine.lease_renewed_at > self.lease_s / 2:
            machine.renewed_without_gap_since = now
        machine.lease_renewed_at = now

    def _begin_incarnation(self, machine: Machine, session: int, now: float) -> None:
        heard = machine.acknowledged_epoch == self.epoch
        if (
            heard
            and now - machine.renewed_without_gap_since > self.lease_s * CLOCK_DRIFT_FACTOR + 0.5
        ):
            # Its lease ended although every report was answered: our answers do not arrive.
            machine.lease_losses = (
                machine.lease_losses + 1 if self._lost_lease_lately(machine, now) else 1
            )
            machine.lease_lost_at = now
            log.info("machine %s: its lease ended though we answer it", machine.name)
        for attempt in list(self.attempts_on(machine).values()):
            if attempt.incarnation < session:
                self.supersede(attempt, f"{machine.name} began session {session}")
        self.unacknowledged_starts.on_incarnation_ended(
            machine.index, f"{machine.name} began session {session}"
        )
        machine.forget_images()

    def _lost_lease_lately(self, machine: Machine, now: float) -> bool:
        return machine.lease_losses > 0 and now - machine.lease_lost_at < 1.5 * self.lease_s

    def _detect_one_way_partition(self, machine: Machine, now: float) -> None:
        """Its reports arrive; do our answers and commands? Such a machine looks alive and idle, and
        would draw one task after the other."""
        before = machine.partition_reason
        machine.partition_reason = ""
        if machine.ignored_starts >= MAX_IGNORED_STARTS:
            machine.partition_reason = "it does not carry out what it is told"
        elif self._lost_lease_lately(machine, now):
            machine.partition_reason = "its lease ended though its reports were answered"
        if bool(machine.partition_reason) != bool(before):
            log.info("machine %s %s", machine.name, machine.partition_reason or "hears us again")

    def _update_health(
        self, machine: Machine, report: protocol.WorkerHeartbeat, now: float, answered: bool
    ) -> None:
        heard = machine.acknowledged_epoch == self.epoch and answered
        if machine.health is Health.BOOTING or (machine.health is Health.UNRESPONSIVE and heard):
            if machine.health is Health.BOOTING:
                machine.idle_since = now
            elif machine.health is Health.UNRESPONSIVE:
                log.info("machine %s reports again", machine.name)
            machine.transition(Health.UP)
            self.callbacks.on_change()
        if report.spot_notice_s is not None:
            if machine.spot_notice_s is None:
                log.info("machine %s will be taken in %.0f s", machine.name, report.spot_notice_s)
                machine.spot_notice_at = now
                self.machines_with_notice[machine.index] = machine
            machine.spot_notice_s = report.spot_notice_s
            if machine.health is Health.UP:
                machine.transition(Health.DRAINING)
                self.callbacks.on_change()

    def _reconcile_tasks(
        self, machine: Machine, report: protocol.WorkerHeartbeat, now: float
    ) -> None:
        cluster_state = self.cluster_state
        shown: set[tuple[int, int]] = set()
        uncertain = self.unacknowledged_starts.has_any_on(machine.index)
        for leg in report.tasks:
            job_id, task = leg.job_and_index
            job = cluster_state.jobs_by_id.get(job_id)
            if job is None or not 0 <= task < job.task_count:
                continue
            if uncertain:
                self.unacknowledged_starts.on_listed(
                    machine.index, StartKey(job.index, task, leg.attempt)
                )
            attempt = self.attempts_on(machine).get((job.index, task))
            if attempt is None or attempt.number != leg.attempt:
                if self._adopt_unrecorded(machine, report, job, task, leg, now):
                    shown.add((job.index, task))
                continue
            shown.add((job.index, task))
            self._reconcile_listed(machine, attempt, leg, now)
        for key, attempt in list(self.attempts_on(machine).items()):
            if key in shown or attempt.incarnation != report.incarnation:
                if attempt.incarnation < report.incarnation:
                    self.supersede(attempt, f"{machine.name} is in session {report.incarnation}")
                continue
            self._reconcile_missing(machine, report, attempt, now)
        if self.attempts_on(machine):
            machine.idle_since = now

    def _adopt_unrecorded(
        self,
        machine: Machine,
        report: protocol.WorkerHeartbeat,
        job: Job,
        task: int,
        leg: protocol.TaskReport,
        now: float,
    ) -> bool:
        """An attempt that the cluster state does not hold for this machine. True if it now does."""
        if leg.state == protocol.TaskState.EXITED:
            if leg.exit_cause == protocol.ExitCause.DONE and not job.is_service:
                self.job_failures.on_completed(machine, job, task)
                self._finish(job, task)
            return False
        if job.final_status is None and job.task_states[task] == TASK_PENDING:
            # It is there, whatever the records say: count it, so that nobody starts it elsewhere.
            log.info("machine %s runs %s/%d unrecorded: kept", machine.name, job.id, task)
            attempt = self.cluster_state.add_attempt(
                leg.attempt, job, task, machine.index, report.incarnation
            )
            self._reconcile_listed(machine, attempt, leg, now)
            return True
        return False

    def _finish(self, job: Job, task: int) -> None:
        if job.final_status is None and job.task_states[task] != TASK_FINISHED:
            # A set: to look each task up in a list took minutes with an array of 25,000.
            tasks = self.finished_tasks.setdefault(job.index, set())
            if task not in tasks:
                tasks.add(task)
                self.callbacks.on_change()

    def _reconcile_listed(
        self, machine: Machine, attempt: Attempt, leg: protocol.TaskReport, now: float
    ) -> None:
        job = attempt.job
        if attempt.state is not OperationState.CONFIRMED:
            transition(attempt, OperationState.CONFIRMED)
            if epoch_of(attempt.number) == self.epoch:
                machine.ignored_starts = 0
        before = self.cluster_state.set_reported_state(attempt, leg.state)
        if job.is_service and leg.state == protocol.TaskState.RUNNING and not attempt.proven_stable:
            attempt.proven_stable = 0 < attempt.running_at < now - REPLICA_STABLE_AFTER_S
            if attempt.proven_stable:
                self.job_failures.on_completed(machine, job, attempt.task)
        if (
            leg.state in (protocol.TaskState.RUNNING, protocol.TaskState.SAVING)
            and before in BEFORE_RUNNING
        ):
            attempt.running_at = now
            machine.use_image(
                job.image, job.image_size_gb, self.callbacks.image_cache_gb(machine.machine_type)
            )
        if leg.state != protocol.TaskState.EXITED or before == protocol.TaskState.EXITED:
            return
        self.callbacks.on_change()
        if leg.exit_cause == protocol.ExitCause.DONE and not job.is_service:
            self.job_failures.on_completed(machine, job, attempt.task)
            machine.use_image(
                job.image, job.image_size_gb, self.callbacks.image_cache_gb(machine.machine_type)
            )
            if attempt.running_at:
                before_s = job.checkpointed_s.pop(attempt.task, 0.0)
                self.callbacks.on_run_time(job, before_s + now - attempt.running_at)
            if job.final_status is None:
                self._finish(job, attempt.task)
            else:
                self.cluster_state.release(attempt, done=True)
            return
        if leg.exit_cause == protocol.ExitCause.ERROR:
            self.job_failures.on_failed(machine, job, attempt.task, now)
        elif leg.exit_cause in (
            protocol.ExitCause.NO_ROOM,
            protocol.ExitCause.IN_USE,
            protocol.ExitCause.UNKNOWN_TASK,
        ):
            log.info(
                "machine %s refused %s/%d: %s", machine.name, job.id, attempt.task, leg.exit_cause
            )
            job.retry_at = max(job.retry_at, now + 1.0)
        elif leg.progress_saved:
            self._credit_checkpoint(attempt, stopped=True)
        # Ended without being done: over, and it stays listed until forgotten, so that no late
        # command can start this attempt again.
        self.supersede(attempt, f"ended: {leg.exit_cause}")

    def startable_count(self, job: Job) -> int:
        """How many tasks may be started: pending, and not finished with only the record missing."""
        finished = self.finished_tasks.get(job.index, ())
        return job.pending_count - sum(job.task_states[task] == TASK_PENDING for task in finished)

    def _reconcile_missing(
        self, machine: Machine, report: protocol.WorkerHeartbeat, attempt: Attempt, now: float
    ) -> None:
        """A report newer than all we know does not list the attempt."""
        if machine.commands_in_flight or self.unacknowledged_starts.holds(
            machine.index, key_of(attempt)
        ):
            return  # a direct command may be on its way; resent or settled later
        if attempt.state is OperationState.CONFIRMED:
            if not attempt.has_exited:
                self.supersede(attempt, f"{machine.name} no longer lists it")
            return
        if epoch_of(attempt.number) >= self.epoch:
            # Ours was lost on the way, and is sent again; a newer leader's is none of our business.
            return
        if machine.highest_token >= self.epoch:
            # No older leader's command can start it any more.
            self.supersede(attempt, f"{machine.name} does not list it and knows epoch {self.epoch}")
