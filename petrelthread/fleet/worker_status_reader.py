"""Requests by which the leader checks workers without waiting for their heartbeats."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus

from petrelthread import protocol
from petrelthread.background_tasks import BackgroundTasks
from petrelthread.fleet.failure_detector import FailureDetector
from petrelthread.fleet.fleet import Fleet
from petrelthread.fleet.machine import Machine
from petrelthread.http import ClientResponse, NoResponseError
from petrelthread.store import SendRequest

log = logging.getLogger(__name__)

RESPONSE_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0
MAX_READS = 250  # maximum number of workers that one call of ``read_workers`` reads
MAX_READS_WHEN_LATE = 25  # maximum while the event loop is late by MAX_LOOP_DELAY_S or more
MAX_LOOP_DELAY_S = 0.1


class WorkerStatusReader:
    """Reads workers after a failover, and probes those with replicas whose heartbeat is overdue."""

    def __init__(
        self,
        fleet: Fleet,
        failure_detector: FailureDetector,
        request: SendRequest,
        command_slots: asyncio.Semaphore,
    ) -> None:
        """Create the reader.

        Args:
            fleet: The machines.
            failure_detector: Selects the workers to read and probe, and evaluates the results.
            request: Sends one HTTP request.
            command_slots: Limits the reads in flight, together with direct commands.
        """
        self._fleet = fleet
        self._failure_detector = failure_detector
        self._request = request
        self._command_slots = command_slots
        self._reading = BackgroundTasks()

    def read_workers(self, now: float, late_s: float = 0.0) -> None:
        """Read some of the workers that have not acknowledged this epoch.

        Until a worker has acknowledged it, nothing may be placed on its machine, and a worker whose
        controller hangs takes seconds to find this controller. The number of reads is limited
        because each takes time on the event loop, which also has to renew the leader's lease. Most
        workers send a heartbeat without being read.

        Args:
            now: Event loop time.
            late_s: By how much the event loop is late.
        """
        limit = MAX_READS if late_s < MAX_LOOP_DELAY_S else MAX_READS_WHEN_LATE
        for machine in self._failure_detector.unread_machines(now)[:limit]:
            machine.last_read_at = now
            self._reading.start(self._read_worker(machine, self._fleet.epoch))

    async def _read_worker(self, machine: Machine, epoch: int) -> None:
        fleet = self._fleet
        async with self._command_slots:
            if fleet.epoch != epoch or machine.acknowledged_epoch == epoch:
                return
            clock = asyncio.get_running_loop().time
            requested_at = clock()
            try:
                response = await self._send_token(machine)
                heartbeat = protocol.parse_heartbeat(response.body)
            except (NoResponseError, protocol.BadRequestError) as error:
                log.debug("machine %s: status not read: %s", machine.name, error)
                # A timeout that fired late, or during a pause of this process, is no evidence.
                in_time = (
                    clock() - requested_at < 2 * RESPONSE_TIMEOUT_S + MAX_LOOP_DELAY_S
                    and fleet.resumed_at < requested_at
                )
                if fleet.epoch == epoch and in_time and isinstance(error, NoResponseError):
                    self._failure_detector.on_read(machine, answered=False)
                return
        if response.status == HTTPStatus.OK and fleet.epoch == epoch:
            fleet.on_heartbeat(heartbeat, asyncio.get_running_loop().time(), answered=False)

    async def _send_token(self, machine: Machine) -> ClientResponse:
        """Send the worker this leader's token, so that it rejects lower ones from then on.

        Returns:
            The response to a command request without commands.

        Raises:
            NoResponseError: One of the two requests got no response.
            protocol.BadRequestError: The worker's status is malformed.
        """
        status = await self._request(
            machine.address, "GET", protocol.STATUS_PATH, timeout=RESPONSE_TIMEOUT_S
        )
        incarnation = protocol.parse_heartbeat(status.body).incarnation
        body = protocol.command_request(self._fleet.fencing_token, incarnation, [])
        return await self._request(
            machine.address, "POST", protocol.COMMAND_PATH, body, timeout=RESPONSE_TIMEOUT_S
        )

    def probe(self, now: float) -> None:
        """Probe the machines with service replicas whose heartbeat is overdue."""
        for machine in self._failure_detector.overdue_machines(now):
            machine.probing = True
            self._reading.start(self._probe(machine, self._fleet.epoch))

    async def _probe(self, machine: Machine, epoch: int) -> None:
        requested_at = asyncio.get_running_loop().time()
        try:
            await self._request(
                machine.address, "GET", protocol.STATUS_PATH, timeout=PROBE_TIMEOUT_S
            )
            answered = True
        except NoResponseError:
            answered = False
        finally:
            machine.probing = False
        if self._fleet.epoch == epoch and machine.last_seen_at < requested_at:
            self._failure_detector.on_probe(machine, answered, asyncio.get_running_loop().time())
