"""Black-box checks of PROTOCOL's rules, from workers' events and users' responses.

Writes to the state service are examined for two rules only: a start is recorded before it happens,
and no start is recorded for a job that has its final status.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Collection
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec

from petrelthread import protocol
from petrelthread.emulator.environment import EmulatedEnvironment, MachineDescription
from petrelthread.emulator.state_service import JsonValue, Keys

MAX_OBSERVATIONS = 40  # latest observations kept for each job
ROUND_KEY_PREFIX = "pt/r/"
FINAL_KEY_PREFIX = "pt/f/"
FINAL_STATUSES = ("done", "aborted")
MAX_RESPONSE_GAP_S = 75.0  # without a response about an accepted job after the last fault
MAX_WAIT_S = 90.0  # of a job that fits a machine and its team's quota, after the last fault


class _WaitingJob(NamedTuple):
    """A job with waiting tasks that fit a machine, and since when it has started none."""

    since: float
    started_tasks: int
    fitting_machines: set[str]  # machines that have had room for a task since then


def job_id_of(task: str) -> str:
    """The job that a task belongs to."""
    return task.rpartition("/")[0]


class InvariantChecker:
    """Records events as they happen and collects violations of the rules."""

    def __init__(self, environment: EmulatedEnvironment) -> None:
        self._environment = environment
        self.machines_by_task: dict[str, set[str]] = {}
        self.used_cores: dict[str, float] = {}  # by running tasks, by team
        self.completed_tasks: set[str] = set()
        self.started_at: dict[str, float] = {}  # time of the first start, by task
        self.start_count = 0
        self.cancelled_at: dict[str, float] = {}  # when the user received the confirmation, by job
        self.cancel_requested: set[str] = set()
        self.statuses: dict[str, str] = {}  # the last status that a user received, by job
        self.faults_ended_at: float | None = None
        self.violations: list[str] = []
        self.recorded_tasks: set[str] = set()  # tasks with a start recorded in the state service
        self._accepted_starts: set[tuple[str, int, str]] = set()  # task, attempt and machine
        self._waiting: dict[str, _WaitingJob] = {}
        self._last_response_at: dict[str, float] = {}
        self._zones: dict[str, str] = {}  # by machine
        self._observations: dict[str, deque[str]] = {}  # by job

    def evidence(self, violation: str) -> list[str]:
        """The latest observations about the jobs that a violation names."""
        return [
            line
            for job_id, lines in self._observations.items()
            if job_id in violation
            for line in lines
        ]

    def record_put(self, key: str, value: JsonValue, keys: Keys) -> None:
        """Record the starts that a controller writes; none may be of a job that is finished."""
        if not key.startswith(ROUND_KEY_PREFIX):
            return
        for machine, _, jobs in value:
            for job_id, tasks in jobs:
                if machine and f"{FINAL_KEY_PREFIX}{job_id}" in keys:
                    self.violations.append(f"started when over: {job_id} by {key}")
                self.recorded_tasks |= {f"{job_id}/{task}" for task in tasks}

    def record_start_command(self, task: str, attempt: int, machine: str, token: int) -> None:
        """Check an accepted start command: with a cached image, the task would run at once."""
        now = asyncio.get_running_loop().time()
        if (task, attempt, machine) in self._accepted_starts:
            self.violations.append(f"executed again: {task} attempt {attempt} on {machine}")
        self._accepted_starts.add((task, attempt, machine))
        self._observe(task, f"{machine}: accepted the start of {task}, token {token}")
        if self.machines_by_task.get(task):
            self._enforce_leases()
        if others := self.machines_by_task.get(task, set()) - {machine}:
            self.violations.append(
                f"ran_twice: {task} was started on {machine} while on {others} at {now:.1f}"
            )
        at = self.cancelled_at.get(job_id_of(task))
        if at is not None and now > at + self._environment.workers.cancel_s:
            self.violations.append(
                f"ran_cancelled: {task} was started on {machine} {now - at:.1f} s after its cancel"
            )

    def record_restart(self, machine: str) -> None:
        """Record that a machine has restarted: its worker may be told to start attempts again."""
        self._accepted_starts = {start for start in self._accepted_starts if start[2] != machine}

    def record_start(self, task: str, machine: MachineDescription, now: float) -> None:
        """Record that the task runs on the machine, its image fetched."""
        self.start_count += 1
        name = machine.name
        job = self._job(task)
        limit = self._environment.limits[job.team]
        over_limit = self.used_cores.get(job.team, 0.0) + job.cores > limit
        if over_limit or self.machines_by_task.get(task):
            self._enforce_leases()
        if self.machines_by_task.get(task):
            others = self.machines_by_task[task]
            self.violations.append(f"ran_twice: {task} on {name} and {others} at {now:.1f}")
        if task not in self.recorded_tasks:
            self.violations.append(f"no record: {task} started on {name} at {now:.1f}")
        self.machines_by_task.setdefault(task, set()).add(name)
        self.used_cores[job.team] = self.used_cores.get(job.team, 0.0) + job.cores
        self.started_at.setdefault(task, now)
        self._zones[name] = machine.zone
        self._observe(task, f"{name} ({machine.zone}): {task} runs, its image fetched")
        reason = self._misplacement(task, job, machine)
        if reason:
            self.violations.append(f"wrong_place: {task} on {name} at {now:.1f}: {reason}")
        if self.used_cores[job.team] > limit:
            self.violations.append(self._quota_violation(task, job.team, now))
        if self.cancelled_at:
            self.check_cancellations()

    def _enforce_leases(self) -> None:
        """End the tasks whose worker's lease has expired.

        A hanging worker kills its tasks only when it resumes, but its first action then is to
        enforce its lease: tasks with an expired lease no longer count as running.
        """
        for other in list(self._environment.cloud.machines.values()):
            other.worker.enforce_lease()

    def record_end(self, task: str, machine: str) -> None:
        """Record that a task no longer runs: it exited or was killed, or its machine terminated."""
        machines = self.machines_by_task.get(task, set())
        if machine in machines:
            machines.remove(machine)
            self._observe(task, f"{machine}: {task} no longer runs")
            job = self._job(task)
            self.used_cores[job.team] -= job.cores

    def record_completion(self, task: str) -> None:
        """Record that the task has completed its work."""
        self.completed_tasks.add(task)

    def record_answer(self, job_id: str, http_status: int, response: dict[str, Any]) -> None:
        """Record and check a response that a user received about the job."""
        self._observe(job_id, f"user: {http_status} {response.get('status', '')}")
        if http_status == HTTPStatus.NOT_FOUND:
            if job_id in self.statuses:
                self.violations.append(f"forgotten: {job_id}")
            return
        if http_status not in (HTTPStatus.OK, HTTPStatus.CREATED):
            return
        self._last_response_at[job_id] = asyncio.get_running_loop().time()
        if job_id not in self._environment.jobs:
            self.violations.append(f"invented: {job_id}")
        self._check_status_change(job_id, response["status"])
        self.statuses[job_id] = response["status"]

    def check_cancellations(self) -> None:
        """Check that no task of a job runs ``cancel_s`` after its cancellation was confirmed."""
        now = asyncio.get_running_loop().time()
        for task, machines in self.machines_by_task.items():
            at = self.cancelled_at.get(job_id_of(task))
            if machines and at is not None and now > at + self._environment.workers.cancel_s:
                self.violations.append(f"ran_cancelled: {task} at {now:.1f}")

    def check_answers(self, polled_jobs: Collection[str] | None = None) -> None:
        """Check that users get responses about each accepted job after the last fault.

        Args:
            polled_jobs: The jobs whose users still poll; None for all.
        """
        now = asyncio.get_running_loop().time()
        for job_id in self.statuses if polled_jobs is None else polled_jobs:
            if job_id not in self.statuses:
                continue
            since = max(self._last_response_at[job_id], self.faults_ended_at or now)
            if now - since > MAX_RESPONSE_GAP_S:
                self.violations.append(
                    f"forgotten: no answer about {job_id} for {now - since:.0f} s"
                )

    def check_waiting_jobs(self) -> None:
        """Check that after the last fault no job waits that fits a machine and its team's quota."""
        now = asyncio.get_running_loop().time()
        if self.faults_ended_at is None:
            return
        free_cores = self._free_cores()
        for job_id in self._environment.jobs:
            self._check_waiting_job(job_id, free_cores, now)

    # ---- single rules ------------------------------------------------------------------------

    def _check_status_change(self, job_id: str, status: str) -> None:
        before = self.statuses.get(job_id)
        if status == "aborted" and job_id not in self.cancel_requested:
            self.violations.append(f"went_back: {job_id} cancelled without a request")
        if before in FINAL_STATUSES and status != before:
            self.violations.append(f"went_back: {job_id} {before} to {status}")
        if status == "done" and not self.completed_tasks.issuperset(self._tasks(job_id)):
            self.violations.append(f"not_done: {job_id}")

    def _misplacement(self, task: str, job: protocol.JobSpec, machine: MachineDescription) -> str:
        """The reason why the task may not run on the machine; empty if it may."""
        if machine.spot and not job.spot_allowed:
            return "a spot machine"
        if job.machine_types is not None and machine.machine_type not in job.machine_types:
            return f"a machine of type {machine.machine_type}"
        if job.zone not in (None, machine.zone):
            return f"in zone {machine.zone}"
        return self._zone_violation(job_id_of(task), job, machine.zone)

    def _zone_violation(self, job_id: str, job: protocol.JobSpec, zone: str) -> str:
        """Why the job, given its other tasks, may not have one in the zone; empty if it may."""
        if not (job.single_zone or job.spread_zones):
            return ""
        zones = [
            self._zones[name]
            for task in self._tasks(job_id)
            for name in self.machines_by_task.get(task, ())
        ]
        if job.single_zone and set(zones) != {zone}:
            return f"tasks of a single-zone job in {sorted(set(zones))}"
        if job.spread_zones and zones.count(zone) > (job.task_count + 1) // 2:
            return f"{zones.count(zone)} of {job.task_count} tasks of a spread job in {zone}"
        return ""

    def _quota_violation(self, task: str, team: str, now: float) -> str:
        """The text of a quota violation, with all running tasks of the team."""
        running = [
            f"{other} on {'+'.join(sorted(machines))}"
            for other, machines in self.machines_by_task.items()
            if machines and self._job(other).team == team
        ]
        used, limit = self.used_cores[team], self._environment.limits[team]
        return (
            f"quota: {team} at {now:.1f}: {used:g} of {limit:g} with {task}; {', '.join(running)}"
        )

    def _free_cores(self) -> dict[str, float]:
        """Free cores of each machine that is up and not faulty."""
        environment = self._environment
        cores = float(environment.deployment.machine_types[0]["cores"])
        free = {
            name: cores
            for name, machine in environment.cloud.machines.items()
            if machine.worker.up and not machine.worker.faulty
        }
        for task, machines in self.machines_by_task.items():
            for name in machines & free.keys():
                free[name] -= self._job(task).cores
        return free

    def _check_waiting_job(self, job_id: str, free_cores: dict[str, float], now: float) -> None:
        environment = self._environment
        job = self._job_spec(job_id)
        is_finished = self.statuses.get(job_id) in (None, *FINAL_STATUSES)
        is_finished = is_finished or job_id in environment.failing_jobs
        tasks = self._tasks(job_id)
        has_waiting_task = any(
            task not in self.completed_tasks and not self.machines_by_task.get(task)
            for task in tasks
        )
        started_tasks = sum(task in self.started_at for task in tasks)
        fitting = self._fitting_machines(job, free_cores)
        previous = self._waiting.get(job_id, _WaitingJob(now, started_tasks, fitting))
        # Only a machine that has had room throughout counts: different ones may have room in turn.
        fitting &= previous.fitting_machines
        used = self.used_cores.get(job.team, 0.0) + job.cores
        if (
            is_finished
            or not has_waiting_task
            or not fitting
            or used > environment.limits[job.team]
        ):
            self._waiting.pop(job_id, None)
        elif started_tasks > previous.started_tasks:
            self._waiting[job_id] = _WaitingJob(now, started_tasks, fitting)
        else:
            self._waiting[job_id] = previous._replace(fitting_machines=fitting)
            if now - previous.since > MAX_WAIT_S:
                since = f"{previous.since:.1f}"
                self.violations.append(f"left waiting: {job_id} since {since}, {fitting}")

    def _fitting_machines(self, job: protocol.JobSpec, free_cores: dict[str, float]) -> set[str]:
        """Machines that are allowed for the job and have room for one of its tasks."""
        fitting = set()
        for name, cores in free_cores.items():
            machine = self._environment.cloud.machines[name].description
            spot_rule_met = job.spot_allowed or not machine.spot
            if cores >= job.cores and spot_rule_met and job.zone in (None, machine.zone):
                fitting.add(name)
        return fitting

    # ---- helpers -----------------------------------------------------------------------------

    def _observe(self, task: str, text: str) -> None:
        """Keep an observation as evidence about the job; ``task`` may also be the job's id."""
        now = asyncio.get_running_loop().time()
        job_id = task.partition("/")[0]
        lines = self._observations.setdefault(job_id, deque(maxlen=MAX_OBSERVATIONS))
        lines.append(f"{now:10.3f} {text}")

    def _job(self, task: str) -> protocol.JobSpec:
        return self._job_spec(job_id_of(task))

    def _job_spec(self, job_id: str) -> protocol.JobSpec:
        return msgspec.convert(self._environment.jobs[job_id], protocol.JobSpec)

    def _tasks(self, job_id: str) -> list[str]:
        count = self._job_spec(job_id).task_count
        return [protocol.task_id(job_id, index) for index in range(count)]
