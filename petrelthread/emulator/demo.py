"""Demo: a complete cluster on the loopback interface that fails over when its leader is killed."""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path

from petrelthread.emulator.invariant_checker import FINAL_STATUSES
from petrelthread.emulator.loopback import ignore_cancelled
from petrelthread.emulator.loopback_environment import LoopbackEnvironment, LoopbackOptions
from petrelthread.emulator.users import Users
from petrelthread.emulator.workload import PlannedJob, job_spec

SEED = 1
MACHINES = 9
PROGRESS_INTERVAL_S = 2.0
CHECK_INTERVAL_S = 0.2
RESTART_AFTER_S = 3.0
TIME_LIMIT_S = 55.0
SERVICE_ID = "wk-000004"
JOBS = (
    PlannedJob(job_spec("wk-000001", 14, estimated_run_s=4.0), 0.0, None, 4.0),
    PlannedJob(
        job_spec("wk-000002", 4, team="blue", single_zone=True, estimated_run_s=3.0), 0.5, None, 3.0
    ),
    PlannedJob(
        job_spec("wk-000003", 6, team="guest", spread_zones=True, estimated_run_s=5.0),
        1.0,
        None,
        5.0,
    ),
    PlannedJob(
        job_spec(
            SERVICE_ID,
            3,
            team="blue",
            kind="service",
            priority="prod",
            cores=1.0,
            spread_zones=True,
        ),
        0.0,
        None,
        0.0,
    ),
)
DESCRIPTIONS = {
    "wk-000001": "array of 14 tasks",
    "wk-000002": "array of 4 tasks in one zone",
    "wk-000003": "array of 6 tasks spread over zones",
    SERVICE_ID: "service of 3 replicas spread over zones",
}


class DemoTimeoutError(Exception):
    """The demo exceeded its time limit. The message names the condition that was not met."""


class Demo:
    """One run of the demo."""

    def __init__(self, environment: LoopbackEnvironment) -> None:
        self._environment = environment
        self._started_at = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Start all processes, run the jobs, kill the leader, and wait until all jobs are finished.

        Raises:
            DemoTimeoutError: A condition was not met within ``TIME_LIMIT_S``.
        """
        environment = self._environment
        for job in JOBS:
            environment.add_job(job)
        await environment.start()
        self._print(f"started {len(environment.controllers)} controllers, state service and cloud")
        for job_id, kind in DESCRIPTIONS.items():
            self._print(f"submitting {job_id}: {kind}")
        addresses = [environment.public_address(node) for node in environment.deployment.nodes]
        users = Users(
            environment.checker,
            environment.network.requester("users"),
            addresses,
            environment.random,
        )
        user_tasks = [asyncio.create_task(users.follow(job, self._started_at)) for job in JOBS]
        progress = asyncio.create_task(self._show_progress())
        try:
            await self._wait_until(self._half_completed, "half of the tasks")
            await self._kill_leader()
            await self._wait_until(self._arrays_finished, "the arrays")
            await self._wait_until(self._service_running, "all replicas of the service")
            self._print(f"cancelling {SERVICE_ID}")
            users.faults_ended.set()
            await self._wait_until(lambda: SERVICE_ID in self._finished_jobs(), "the cancellation")
        finally:
            for task in [progress, *user_tasks]:
                task.cancel()

    def summary(self) -> str:
        """The results, and the violated rules if there are any."""
        checker = self._environment.checker
        done = sum(checker.statuses.get(job.job_id) == "done" for job in JOBS)
        lines = [
            f"{done} arrays done ({len(checker.completed_tasks)} tasks), 1 service cancelled,"
            f" {checker.start_count} starts,"
            f" {self._environment.cloud.rented_count} machines rented;"
            f" {'no rule broke' if not checker.violations else 'RULES BROKEN:'}"
        ]
        return "\n".join(lines + [f"  {text}" for text in checker.violations])

    async def _kill_leader(self) -> None:
        leader = self._environment.leader
        controller = next(c for c in self._environment.controllers if c.name == leader)
        self._print(f"killing the leader, {leader}")
        controller.kill()
        await self._wait_until(
            lambda: self._environment.leader not in (None, leader), "the next leader"
        )
        self._print(f"{self._environment.leader} leads now")
        await asyncio.sleep(RESTART_AFTER_S)
        controller.start()

    # ---- conditions --------------------------------------------------------------------------

    async def _wait_until(self, condition: Callable[[], bool], awaited: str) -> None:
        while not condition():
            if asyncio.get_running_loop().time() - self._started_at > TIME_LIMIT_S:
                raise DemoTimeoutError(
                    f"not finished after {TIME_LIMIT_S:.0f} s: still waiting for {awaited}"
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _task_count(self) -> int:
        return sum(job.spec["legs"] for job in JOBS if not job.service)

    def _half_completed(self) -> bool:
        return 2 * len(self._environment.checker.completed_tasks) >= self._task_count()

    def _finished_jobs(self) -> set[str]:
        return {
            job_id
            for job_id, status in self._environment.checker.statuses.items()
            if status in FINAL_STATUSES
        }

    def _arrays_finished(self) -> bool:
        return all(job.job_id in self._finished_jobs() for job in JOBS if not job.service)

    def _service_running(self) -> bool:
        machines_by_task = self._environment.checker.machines_by_task
        return all(machines_by_task.get(f"{SERVICE_ID}/{replica}") for replica in range(3))

    # ---- output ------------------------------------------------------------------------------

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            checker = self._environment.checker
            up = sum(machine.worker.up for machine in self._environment.cloud.machines.values())
            running = sum(bool(machines) for machines in checker.machines_by_task.values())
            statuses = ", ".join(f"{j.job_id} {checker.statuses.get(j.job_id, '-')}" for j in JOBS)
            leader = self._environment.leader or "none"
            self._print(
                f"leader {leader}; {up} machines up; {running} tasks on them,"
                f" {len(checker.completed_tasks)} of {self._task_count()} done; {statuses}"
            )

    def _print(self, text: str) -> None:
        elapsed_s = asyncio.get_running_loop().time() - self._started_at
        print(f"{elapsed_s:5.1f} s  {text}", flush=True)


async def _run_demo(directory: Path) -> int:
    asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
    environment = LoopbackEnvironment(SEED, LoopbackOptions(machines=MACHINES), directory)
    demo = Demo(environment)
    try:
        await demo.run()
    except DemoTimeoutError as error:
        print(error)
        print(demo.summary())
        return 1
    else:
        print(demo.summary())
        return 1 if environment.checker.violations else 0
    finally:
        environment.close()


def run_demo() -> int:
    """Run the demo.

    Returns the exit code: 0 if all jobs finished without violations, 1 if not, 130 if interrupted.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    directory = Path(tempfile.mkdtemp(prefix="petrelthread-demo-"))
    try:
        return asyncio.run(_run_demo(directory))
    except KeyboardInterrupt:
        return 130
    finally:
        shutil.rmtree(directory, ignore_errors=True)
