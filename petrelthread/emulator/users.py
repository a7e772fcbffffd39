"""Emulated users: they submit jobs, repeat submissions, query statuses, and cancel jobs."""

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

SUBMIT_TIMEOUT_S = 5.0  # as PROTOCOL specifies
POLL_TIMEOUT_S = 2.0
POLL_INTERVAL_S = (0.5, 1.5)  # shortest and longest
FAST_POLL_INTERVAL_S = (0.1, 0.3)  # of users who cancel their job as soon as it runs
RETRY_S = 0.5
REPEAT_SHARE = 0.05  # of the polls that repeat the submission instead
UNKNOWN_JOB = "wk-99999999"  # never submitted
RUNNING = "running"
ACCEPTED = (HTTPStatus.OK, HTTPStatus.CREATED)
REJECTED = (HTTPStatus.BAD_REQUEST, HTTPStatus.UNPROCESSABLE_ENTITY)


JobObject = dict[str, Any] | None  # JSON object of a submission; None if the request has no body


class Users:
    """The users of all jobs: one user for each job."""

    def __init__(
        self,
        checker: InvariantChecker,
        request: RequestSender,
        controllers: Sequence[str],
        randomness: random.Random,
    ) -> None:
        """Prepare the users.

        Args:
            checker: Records all responses.
            request: Sends the users' requests.
            controllers: Public addresses of the controllers.
            randomness: Draws the times, controllers and kinds of requests.
        """
        self._checker = checker
        self._request = request
        self._controllers = controllers
        self._random = randomness
        self.errors: list[str] = []  # rejections of valid submissions
        self.faults_ended = asyncio.Event()  # set when users may cancel their services

    async def follow(self, job: PlannedJob, started_at: float) -> None:
        """Act as the user of one job until a response has its final status."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, started_at + job.submit_s - loop.time()))
        if job.submit_s >= 0:
            await self._submit(job)
        accepted_at = loop.time()
        while self._checker.statuses.get(job.job_id) not in FINAL_STATUSES:
            if self._wants_cancel(job, accepted_at, loop.time()):
                await self._cancel(job)
            elif self._random.random() < REPEAT_SHARE:
                await self._send(job.job_id, "POST", "/v2/runs", job.spec, SUBMIT_TIMEOUT_S)
            else:
                await self._send(job.job_id, "GET", f"/v2/runs/{job.job_id}", None, POLL_TIMEOUT_S)
            interval_s = FAST_POLL_INTERVAL_S if job.cancel_when_running else POLL_INTERVAL_S
            await asyncio.sleep(self._random.uniform(*interval_s))

    async def query_final_statuses(self, job: PlannedJob) -> None:
        """Query the final status at every controller, and an unknown job at one."""
        for address in self._controllers:
            await self._send_to(address, job.job_id, "GET", f"/v2/runs/{job.job_id}", None)
        await self._send_to(
            self._controllers[0], UNKNOWN_JOB, "GET", f"/v2/runs/{UNKNOWN_JOB}", None
        )

    def _wants_cancel(self, job: PlannedJob, accepted_at: float, now: float) -> bool:
        if job.service or job.cancel_after_faults:
            return self.faults_ended.is_set()
        if job.cancel_when_running:
            requested = job.job_id in self._checker.cancel_requested
            return requested or self._checker.statuses.get(job.job_id) == RUNNING
        return job.cancel_after_s is not None and now - accepted_at > job.cancel_after_s

    async def _submit(self, job: PlannedJob) -> None:
        while True:
            status, _ = await self._send(job.job_id, "POST", "/v2/runs", job.spec, SUBMIT_TIMEOUT_S)
            if status in ACCEPTED:
                return
            if status in REJECTED:
                self.errors.append(f"{job.job_id} was refused with {status}")
                return
            await asyncio.sleep(RETRY_S)

    async def _cancel(self, job: PlannedJob) -> None:
        self._checker.cancel_requested.add(job.job_id)
        path = f"/v2/runs/{job.job_id}/withdraw"
        status, content = await self._send(job.job_id, "POST", path, None, POLL_TIMEOUT_S)
        if status == HTTPStatus.OK and content["status"] == "aborted":
            now = asyncio.get_running_loop().time()
            self._checker.cancelled_at.setdefault(job.job_id, now)

    async def _send(
        self, job_id: str, method: str, path: str, body: JobObject, timeout_s: float
    ) -> tuple[int, dict[str, Any]]:
        address = self._random.choice(self._controllers)
        return await self._send_to(address, job_id, method, path, body, timeout_s)

    async def _send_to(
        self,
        address: str,
        job_id: str,
        method: str,
        path: str,
        body: JobObject,
        timeout_s: float = POLL_TIMEOUT_S,
    ) -> tuple[int, dict[str, Any]]:
        """Return the status and body of the response; status 0 if there is none."""
        try:
            response = await self._request(address, method, path, body, timeout_s)
        except NoResponseError:
            return 0, {}
        content = orjson.loads(response.body)
        self._checker.record_answer(job_id, response.status, content)
        return response.status, content
