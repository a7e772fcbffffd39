"""The election as a state machine. Safety rests on the epoch in every claim, not on the lease."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

from petrelthread import protocol
from petrelthread.leadership.fence import Fence
from petrelthread.state import LeaderRecord, decode_leader
from petrelthread.store import (
    KEY_PREFIX,
    LeaseExpiredError,
    StateClient,
    StateRejectedError,
    StateResultUnknownError,
    StateUnavailableError,
    TransactionConflictError,
    WatchCache,
)

log = logging.getLogger(__name__)

LEASE_TTL_S = 3.0
RENEW_INTERVAL_S = 0.75
TOKEN_RETRY_S = 0.15  # between two tries to write a higher token
MAX_CLOCK_DRIFT = 1.001


class Role(Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    FAILING_OVER = "taking over"  # elected, not yet caught up: answers workers, commands nothing
    LEADING = "leading"
    LEASE_GRACE = "holding over"  # lease perhaps gone, no newer epoch known: no commands


TRANSITIONS = {
    Role.FOLLOWER: {Role.CANDIDATE},
    Role.CANDIDATE: {Role.FOLLOWER, Role.FAILING_OVER},
    Role.FAILING_OVER: {Role.LEADING, Role.LEASE_GRACE, Role.FOLLOWER},
    Role.LEADING: {Role.LEASE_GRACE, Role.FOLLOWER},
    Role.LEASE_GRACE: {Role.LEADING, Role.FAILING_OVER, Role.FOLLOWER},
}
ACTIVE_ROLES = (Role.FAILING_OVER, Role.LEADING, Role.LEASE_GRACE)


class Election:
    def __init__(
        self,
        node_name: str,
        client: StateClient,
        watch_cache: WatchCache,
        lease_grace_s: float,
        randomness: random.Random,
        on_elected: Callable[[], Awaitable[None]],
        on_role: Callable[[Role], None],
        on_token: Callable[[int], None],
    ) -> None:
        self._node_name = node_name
        self._client = client
        self._watch_cache = watch_cache
        self._lease_grace_s = lease_grace_s
        self._random = randomness
        self._on_elected = on_elected
        self._on_role = on_role
        self._on_token = on_token
        self.role = Role.FOLLOWER
        self.epoch = 0  # of our election, while acting
        # What workers are shown: the epoch, or higher since then. No epoch is ever as low as a
        # token that was shown, since both are the value of one key that only rises.
        self.fencing_token = 0
        self._raising_to = 0  # the token whose writing is under way
        self.highest_known_epoch = 0  # the highest anyone has shown us
        self.leader: LeaderRecord | None = None  # the lead key's value
        self.elected_at = 0.0
        self.abstain_until = 0.0
        self._fence_revision = 0  # revision of both keys as we wrote them, in one transaction
        self._stored_epoch = 0  # the epoch key as last read, and its revision
        self._stored_epoch_revision = 0
        self._lease: int | None = None
        self._nonce = ""
        self._renewed_at = 0.0
        self._caught_up = False
        self.wake = asyncio.Event()

    # ---- states ----------------------------------------------------------------------------

    def _transition(self, target: Role, reason: str) -> None:
        """The one place where the role changes."""
        if target is self.role:
            return
        assert target in TRANSITIONS[self.role], f"{self.role} to {target}"
        level = logging.DEBUG if Role.CANDIDATE in (target, self.role) else logging.INFO
        if target is Role.FAILING_OVER:
            level = logging.INFO
        log.log(
            level,
            "leadership: %s to %s (epoch %d): %s",
            self.role.value,
            target.value,
            self.epoch,
            reason,
        )
        self.role = target
        self._on_role(target)

    @property
    def may_answer_workers(self) -> bool:
        """May answer workers with 200: nobody newer is known, and the hold-over is not over."""
        return self.role in ACTIVE_ROLES and self._now() < self._grace_end()

    @property
    def is_leader(self) -> bool:
        return self.role is Role.LEADING and self._now() < self._lease_end()

    @property
    def may_start_tasks(self) -> bool:
        """May tell workers to start something: it knows what was cancelled until a moment ago."""
        return self.is_leader and self._now() < self._watch_cache.current_as_of + LEASE_TTL_S

    @property
    def leader_name(self) -> str | None:
        return self.leader.node if self.leader else None

    def fence(self) -> Fence | None:
        """The conditions of every claim, or None when there is no right to claim."""
        if self.role not in (Role.FAILING_OVER, Role.LEADING):
            return None
        conditions = [
            protocol.Condition(KEY_PREFIX + "lead", self._fence_revision),
            protocol.Condition(KEY_PREFIX + "epoch", self._fence_revision),
        ]
        return Fence(self.epoch, conditions)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _lease_end(self) -> float:
        return self._renewed_at + LEASE_TTL_S / MAX_CLOCK_DRIFT

    def _grace_end(self) -> float:
        """Until when workers may be answered.

        A renewal shows that nobody newer leads, not that this node has read what others wrote: its
        watch may have stood still, or its answers been lost, while renewals went through. Whatever
        is not known here was cancelled after the newest complete read.
        """
        return min(self._renewed_at, self._watch_cache.current_as_of) + self._lease_grace_s

    # ---- what others show --------------------------------------------------------------------

    def on_key(self, key: str, value: Any, revision: int) -> None:
        if key == "epoch" and value is not None:
            # Whose it is, the lead key tells, which is always written along with it.
            self._stored_epoch, self._stored_epoch_revision = int(value), revision
            self.highest_known_epoch = max(self.highest_known_epoch, int(value))
        elif key == "lead":
            leader = None if value is None else decode_leader(value)
            self.leader = leader
            ours = leader is not None and leader.nonce == self._nonce
            if self.role in ACTIVE_ROLES and not ours and revision > self._fence_revision:
                self._step_down("the lead key is gone or another's")
            elif self.role in ACTIVE_ROLES and leader is not None and ours:
                self._adopt_token(leader.epoch, revision)
            if leader is not None:
                self.observe_epoch(leader.epoch)
        self.wake.set()

    def observe_epoch(self, epoch: int) -> None:
        """Somebody knows this epoch, or token. One that we may have written is no newer leader's"""
        self.highest_known_epoch = max(self.highest_known_epoch, epoch)
        if self.role in ACTIVE_ROLES and epoch > self.fencing_token and epoch != self._raising_to:
            self._step_down(f"epoch {epoch} is newer")

    def _step_down(self, reason: str) -> None:
        self._transition(Role.FOLLOWER, reason)
        self.wake.set()

    def on_process_resumed(self) -> None:
        """This process stood still. Past its lease another may lead by now: until the state service
        has answered, it commands nothing and does not show itself as the leader."""
        if self.role in (Role.LEADING, Role.FAILING_OVER) and self._now() >= self._lease_end():
            self._transition(Role.LEASE_GRACE, "it stood still past its lease")
        self.wake.set()

    async def resign(self, reason: str, abstain_s: float) -> None:
        """Give the lead away, as one who cannot reach the workers must."""
        self.abstain_until = self._now() + abstain_s
        lease = self._lease
        self._step_down(reason)
        if lease is not None:
            await self._revoke(lease)

    async def _revoke(self, lease: int) -> bool:
        try:
            await self._client.revoke_lease(lease)
        except (StateUnavailableError, StateResultUnknownError):
            return False
        return True

    # ---- the loop ----------------------------------------------------------------------------

    async def run(self) -> None:
        while True:
            try:
                delay = await self._step()
            except (StateUnavailableError, StateResultUnknownError) as error:
                log.debug("leadership: state service: %s", error)
                delay = 0.3
            self.wake.clear()
            try:
                async with asyncio.timeout(delay):
                    await self.wake.wait()
            except TimeoutError:
                pass

    async def _step(self) -> float:
        if self.role in ACTIVE_ROLES:
            return await self._renew()
        if not self._watch_cache.loaded.is_set() or self._now() < self.abstain_until:
            return 0.2
        if self.leader is not None:
            stale = self.leader.node == self._node_name and self.leader.nonce != self._nonce
            if stale:
                # An earlier life of this very node: it is dead, its lease need not run out.
                log.info("leadership: ending the lease of an earlier life of this node")
                await self._revoke(self.leader.lease)
                await self._watch_cache.refresh()
            return 0.2
        await asyncio.sleep(self._random.uniform(0.0, 0.15))
        if not await self._watch_cache.refresh() or self.leader is not None:
            return 0.2
        await self._campaign()
        return 0.05

    async def _campaign(self) -> None:
        self._transition(Role.CANDIDATE, "there is no leader")
        started = self._now()
        try:
            lease = await self._client.grant_lease(LEASE_TTL_S)
        except (StateUnavailableError, StateResultUnknownError):
            self._transition(Role.FOLLOWER, "no lease to be had")
            raise
        epoch = self._stored_epoch + 1
        self._nonce = f"{self._node_name}-{self._random.getrandbits(64):016x}"
        record = LeaderRecord(self._node_name, self._nonce, epoch, lease)
        conditions = [
            protocol.Condition(KEY_PREFIX + "lead", 0),
            protocol.Condition(KEY_PREFIX + "epoch", self._stored_epoch_revision),
        ]
        ops = [
            protocol.PutOperation(KEY_PREFIX + "lead", record, lease),
            protocol.PutOperation(KEY_PREFIX + "epoch", epoch),
        ]
        try:
            stamp = await self._client.transact(conditions, ops)
        except (TransactionConflictError, LeaseExpiredError, StateUnavailableError) as error:
            self._transition(Role.FOLLOWER, f"not elected: {error}")
            await self._revoke(lease)
            return
        except StateResultUnknownError:
            stamp = 0
            if await self._watch_cache.refresh() and self.leader is not None:
                mine = self.leader.nonce == self._nonce
                stamp = self._watch_cache.revisions["lead"] if mine else 0
            if not stamp:
                # The transaction may come late. Without its lease it cannot be applied.
                self._transition(Role.FOLLOWER, "election unanswered")
                await self._revoke(lease)
                return
        if self.highest_known_epoch > epoch:
            self._transition(Role.FOLLOWER, "a newer epoch is known")
            await self._revoke(lease)
            return
        self.epoch = self.fencing_token = self.highest_known_epoch = epoch
        self._raising_to = 0
        self._lease = lease
        self._fence_revision = stamp
        self._renewed_at = started
        self.elected_at = self._now()
        self._caught_up = False
        self._transition(Role.FAILING_OVER, "elected")
        asyncio.create_task(self._fail_over())

    async def _fail_over(self) -> None:
        while self.role is Role.FAILING_OVER:
            if await self._watch_cache.refresh():
                break
            await asyncio.sleep(0.2)
        if self.role is Role.FAILING_OVER:
            await self._on_elected()
        if self.role is Role.FAILING_OVER:
            self._caught_up = True
            self._transition(Role.LEADING, "state reloaded, workers being read")

    # ---- a higher token under the same lead ----------------------------------------------------

    async def raise_fencing_token(self) -> bool:
        """Show workers a higher token from now on, so that all commands sent so far are refused.

        To be called while no claim is under way, for the conditions of claims change with it. The
        write holds only under our lease and our present token; unanswered, it is repeated until
        its fate is known. True if the token is higher now.
        """
        epoch, before = self.epoch, self.fencing_token
        self._raising_to = before + 1
        while self.role is Role.LEADING and self.epoch == epoch and self.fencing_token == before:
            if await self._write_token(before + 1):
                break
            await asyncio.sleep(TOKEN_RETRY_S)
        return self.role in ACTIVE_ROLES and self.epoch == epoch and self.fencing_token > before

    async def _write_token(self, token: int) -> bool:
        """One try. True if its fate is known: the token is written, or can't be any more."""
        fence, lease = self.fence(), self._lease
        if fence is None or lease is None:
            return True
        record = LeaderRecord(self._node_name, self._nonce, token, lease)
        ops = [
            protocol.PutOperation(KEY_PREFIX + "lead", record, lease),
            protocol.PutOperation(KEY_PREFIX + "epoch", token),
        ]
        try:
            stamp = await self._client.transact(fence.conditions, ops)
        except StateRejectedError as error:
            log.error("leadership: token %d: %s", token, error)
            self._raising_to = 0
            return True
        except (StateResultUnknownError, StateUnavailableError) as error:
            log.debug("leadership: token %d not written yet: %s", token, error)
            await self._watch_cache.refresh()
            return self.fencing_token >= token
        except (TransactionConflictError, LeaseExpiredError):
            # An earlier copy counts, or this node leads no more: the keys say which.
            if not await self._watch_cache.refresh():
                return False
            self._raising_to = 0
            self.observe_epoch(self.highest_known_epoch)
            return True
        if self.role in ACTIVE_ROLES and self.epoch == fence.epoch:
            self._adopt_token(token, stamp)
        return True

    def _adopt_token(self, token: int, revision: int) -> None:
        """A token that is written under our own lead is ours, whether or not we were told so."""
        if token <= self.fencing_token:
            return
        log.info(
            "leadership: token raised from %d to %d (epoch %d)",
            self.fencing_token,
            token,
            self.epoch,
        )
        self.fencing_token = token
        self.highest_known_epoch = max(self.highest_known_epoch, token)
        self._raising_to = 0
        self._fence_revision = revision
        self._on_token(token)

    async def _renew(self) -> float:
        assert self._lease is not None
        lease, started = self._lease, self._now()
        try:
            await self._client.renew_lease(lease, timeout=0.9)
            if self.role in ACTIVE_ROLES and lease == self._lease:
                self._renewed_at = started
                if self.role is Role.LEASE_GRACE and self._caught_up:
                    # What others wrote meanwhile has to be read before anything is commanded.
                    if await self._watch_cache.refresh() and self.role is Role.LEASE_GRACE:
                        self._transition(Role.LEADING, "lease renewed after all")
                elif self.role is Role.LEASE_GRACE:
                    # The outage came in the middle of the take-over: it has to be done again.
                    self._transition(Role.FAILING_OVER, "lease renewed after all")
                    asyncio.create_task(self._fail_over())
            return RENEW_INTERVAL_S
        except LeaseExpiredError:
            if self.role in ACTIVE_ROLES and lease == self._lease:
                self._step_down("the lease has ended")
            return 0.05
        except (StateUnavailableError, StateResultUnknownError) as error:
            now = self._now()
            if self.role in ACTIVE_ROLES and now > self._lease_end():
                if now > self._grace_end():
                    self._step_down("the hold-over is over")
                elif self.role is not Role.LEASE_GRACE:
                    self._transition(Role.LEASE_GRACE, f"state service: {error}")
            return 0.25
