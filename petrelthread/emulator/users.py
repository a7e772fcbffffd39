"""Users of a soak: they submit, repeat, ask at any controller, and cancel."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import orjson

from petrelthread.emulator.judge import Judge
from petrelthread.emulator.workload import PlannedJob
from petrelthread.http import ClientResponse, NoResponseError

SUBMIT_WAIT_S = 5.0  # for an answer, as PROTOCOL has it
POLL_WAIT_S = 2.0
POLL_EVERY_S = (0.5, 1.5)
WATCH_EVERY_S = (0.1, 0.3)  # of users who cancel their job as soon as it runs
RETRY_S = 0.5
REPEAT_SHARE = 0.05  # of polls that are repeated submissions
STRANGER = "wk-99999999"  # nobody ever submits it
RUNNING, FINAL = "running", ("done", "aborted")
ACCEPTED = (200, 201)

Request = Callable[..., Awaitable[ClientResponse]]


class Users:
    """All users at once; each job has one of its own."""

    def __init__(
        self, judge: Judge, request: Request, controllers: Sequence[str], randomness: random.Random
    ) -> None:
        """``controllers``: their public addresses."""
        self._judge = judge
        self._request = request
        self._controllers = controllers
        self._random = randomness
        self.errors: list[str] = []  # answers that PROTOCOL does not allow
        self.calm = asyncio.Event()  # no fault any more: services are cancelled from now on

    async def follow(self, job: PlannedJob, started_at: float) -> None:
        """The life of one job, until its final state is told."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, started_at + job.submit_s - loop.time()))
        if job.submit_s >= 0:
            await self._submit(job)
        accepted_at = loop.time()
        while self._judge.answers.get(job.job_id) not in FINAL:
            if self._wants_cancel(job, accepted_at, loop.time()):
                await self._cancel(job)
            elif self._random.random() < REPEAT_SHARE:
                await self._ask(job.job_id, "POST", "/v2/runs", job.spec, SUBMIT_WAIT_S)
            else:
                await self._ask(job.job_id, "GET", f"/v2/runs/{job.job_id}", None, POLL_WAIT_S)
            watches = job.cancel_when_running
            await asyncio.sleep(self._random.uniform(*(WATCH_EVERY_S if watches else POLL_EVERY_S)))

    async def ask_again(self, job: PlannedJob) -> None:
        """A final state is asked for again, at every controller."""
        for address in self._controllers:
            await self._ask_at(address, job.job_id, "GET", f"/v2/runs/{job.job_id}", None)
        await self._ask_at(self._controllers[0], STRANGER, "GET", f"/v2/runs/{STRANGER}", None)

    def _wants_cancel(self, job: PlannedJob, accepted_at: float, now: float) -> bool:
        if job.service:
            return self.calm.is_set()
        if job.cancel_when_running:
            asked = job.job_id in self._judge.asked_to_cancel
            return asked or self._judge.answers.get(job.job_id) == RUNNING
        return job.cancel_after_s is not None and now - accepted_at > job.cancel_after_s

    async def _submit(self, job: PlannedJob) -> None:
        while True:
            status, _ = await self._ask(job.job_id, "POST", "/v2/runs", job.spec, SUBMIT_WAIT_S)
            if status in ACCEPTED:
                return
            if status in (400, 422):
                self.errors.append(f"{job.job_id} was refused with {status}")
                return
            await asyncio.sleep(RETRY_S)

    async def _cancel(self, job: PlannedJob) -> None:
        judge = self._judge
        judge.asked_to_cancel.add(job.job_id)
        path = f"/v2/runs/{job.job_id}/withdraw"
        status, answer = await self._ask(job.job_id, "POST", path, None, POLL_WAIT_S)
        if status == 200 and answer["status"] == "aborted":
            judge.cancelled.setdefault(job.job_id, asyncio.get_running_loop().time())

    async def _ask(
        self, job_id: str, method: str, path: str, body: Any, wait_s: float
    ) -> tuple[int, dict[str, Any]]:
        address = self._random.choice(self._controllers)
        return await self._ask_at(address, job_id, method, path, body, wait_s)

    async def _ask_at(
        self,
        address: str,
        job_id: str,
        method: str,
        path: str,
        body: Any,
        wait_s: float = POLL_WAIT_S,
    ) -> tuple[int, dict[str, Any]]:
        """Status and body; status 0 if no answer came."""
        try:
            reply = await self._request(address, method, path, body, wait_s)
        except NoResponseError:
            return 0, {}
        answer = orjson.loads(reply.body)
        self._judge.told(job_id, reply.status, answer)
        return reply.status, answer
