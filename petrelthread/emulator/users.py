"""Emulated users: they submit jobs, repeat submissions, ask for statuses, and cancel."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import orjson

from petrelthread.emulator.environment import RequestSender
from petrelthread.emulator.invariant_checker import FINAL_STATUSES, InvariantChecker
from petrelthread.emulator.workload import PlannedJob
from petrelthread.http import NoResponseError

SUBMIT_TIMEOUT_S = 5.0  # as PROTOCOL has it
POLL_TIMEOUT_S = 2.0
POLL_INTERVAL_S = (0.5, 1.5)  # shortest and longest
FAST_POLL_INTERVAL_S = (0.1, 0.3)  # of users who cancel their job as soon as it runs
RETRY_S = 0.5
REPEAT_SHARE = 0.05  # of polls that are repeated submissions
UNKNOWN_JOB = "wk-99999999"  # never submitted
RUNNING = "running"
ACCEPTED = (HTTPStatus.OK, HTTPStatus.CREATED)
REFUSED = (HTTPStatus.BAD_REQUEST, HTTPStatus.UNPROCESSABLE_ENTITY)


JobObject = dict[str, Any] | None  # JSON object of a submission, if there is one


class Users:
    """All users; each job has one of its own."""

    def __init__(
        self,
        checker: InvariantChecker,
        request: RequestSender,
        controllers: Sequence[str],
        randomness: random.Random,
    ) -> None:
        """Prepare the users.

        Args:
            checker: Told of all answers.
            request: Sends the users' requests.
            controllers: Public addresses of the controllers.
            randomness: Decides when they ask whom for what.
        """
        self._checker = checker
        self._request = request
        self._controllers = controllers
        self._random = randomness
        self.errors: list[str] = []  # answers that PROTOCOL does not allow
        self.faults_over = asyncio.Event()  # from then on users cancel their services

    async def follow(self, job: PlannedJob, started_at: float) -> None:
        """Act as the user of one job until its final status is known."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, started_at + job.submit_s - loop.time()))
        if job.submit_s >= 0:
            await self._submit(job)
        accepted_at = loop.time()
        while self._checker.statuses.get(job.job_id) not in FINAL_STATUSES:
            if self._wants_cancel(job, accepted_at, loop.time()):
                await self._cancel(job)
            elif self._random.random() < REPEAT_SHARE:
                await self._ask(job.job_id, "POST", "/v2/runs", job.spec, SUBMIT_TIMEOUT_S)
            else:
                await self._ask(job.job_id, "GET", f"/v2/runs/{job.job_id}", None, POLL_TIMEOUT_S)
            interval_s = FAST_POLL_INTERVAL_S if job.cancel_when_running else POLL_INTERVAL_S
            await asyncio.sleep(self._random.uniform(*interval_s))

    async def ask_again(self, job: PlannedJob) -> None:
        """Ask every controller for the final status, and one for a job that does not exist."""
        for address in self._controllers:
            await self._ask_at(address, job.job_id, "GET", f"/v2/runs/{job.job_id}", None)
        await self._ask_at(
            self._controllers[0], UNKNOWN_JOB, "GET", f"/v2/runs/{UNKNOWN_JOB}", None
        )

    def _wants_cancel(self, job: PlannedJob, accepted_at: float, now: float) -> bool:
        if job.service:
            return self.faults_over.is_set()
        if job.cancel_when_running:
            requested = job.job_id in self._checker.cancel_requested
            return requested or self._checker.statuses.get(job.job_id) == RUNNING
        return job.cancel_after_s is not None and now - accepted_at > job.cancel_after_s

    async def _submit(self, job: PlannedJob) -> None:
        while True:
            status, _ = await self._ask(job.job_id, "POST", "/v2/runs", job.spec, SUBMIT_TIMEOUT_S)
            if status in ACCEPTED:
                return
            if status in REFUSED:
                self.errors.append(f"{job.job_id} was refused with {status}")
                return
            await asyncio.sleep(RETRY_S)

    async def _cancel(self, job: PlannedJob) -> None:
        self._checker.cancel_requested.add(job.job_id)
        path = f"/v2/runs/{job.job_id}/withdraw"
        status, answer = await self._ask(job.job_id, "POST", path, None, POLL_TIMEOUT_S)
        if status == HTTPStatus.OK and answer["status"] == "aborted":
            now = asyncio.get_running_loop().time()
            self._checker.cancelled_at.setdefault(job.job_id, now)

    async def _ask(
        self, job_id: str, method: str, path: str, body: JobObject, timeout_s: float
    ) -> tuple[int, dict[str, Any]]:
        address = self._random.choice(self._controllers)
        return await self._ask_at(address, job_id, method, path, body, timeout_s)

    async def _ask_at(
        self,
        address: str,
        job_id: str,
        method: str,
        path: str,
        body: JobObject,
        timeout_s: float = POLL_TIMEOUT_S,
    ) -> tuple[int, dict[str, Any]]:
        """Status and body of the answer; status 0 if there was none."""
        try:
            reply = await self._request(address, method, path, body, timeout_s)
        except NoResponseError:
            return 0, {}
        answer = orjson.loads(reply.body)
        self._checker.record_answer(job_id, reply.status, answer)
        return reply.status, answer
