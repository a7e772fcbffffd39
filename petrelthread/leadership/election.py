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

LIFE_S = 3.0
RENEW_S = 0.75
RETRY_S = 0.15  # between two tries to write a higher token
DRIFT = 1.001


class Role(Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    TAKING_OVER = "taking over"  # elected, not yet caught up: answers workers, commands nothing
    LEADING = "leading"
    HOLDING_OVER = "holding over"  # lease perhaps gone, no newer epoch known: no commands


STEPS = {
    Role.FOLLOWER: {Role.CANDIDATE},
    Role.CANDIDATE: {Role.FOLLOWER, Role.TAKING_OVER},
    Role.TAKING_OVER: {Role.LEADING, Role.HOLDING_OVER, Role.FOLLOWER},
    Role.LEADING: {Role.HOLDING_OVER, Role.FOLLOWER},
    Role.HOLDING_OVER: {Role.LEADING, Role.TAKING_OVER, Role.FOLLOWER},
}
ACTING = (Role.TAKING_OVER, Role.LEADING, Role.HOLDING_OVER)


class Election:
    def __init__(
        self,
        node: str,
        client: StateClient,
        watch_cache: WatchCache,
        hold_over_s: float,
        randomness: random.Random,
        on_elected: Callable[[], Awaitable[None]],
        on_role: Callable[[Role], None],
        on_token: Callable[[int], None],
    ) -> None:
        self._node = node
        self._client = client
        self._watch_cache = watch_cache
        self._hold_over_s = hold_over_s
        self._random = randomness
        self._on_elected = on_elected
        self._on_role = on_role
        self._on_token = on_token
        self.role = Role.FOLLOWER
        self.epoch = 0  # of our election, while acting
        # What workers are shown: the epoch, or higher since then. No epoch is ever as low as a
        # token that was shown, since both are the value of one key that only rises.
        self.token = 0
        self._raising_to = 0  # the token whose writing is under way
        self.known_epoch = 0  # the highest anyone has shown us
        self.leader: dict[str, Any] | None = None  # the lead key's value
        self.elected_at = 0.0
        self.abstain_until = 0.0
        self._fence_stamp = 0  # revision of both keys as we wrote them, in one transaction
        self._stored_epoch = 0  # the epoch key as last read, and its revision
        self._stored_epoch_stamp = 0
        self._lease: int | None = None
        self._nonce = ""
        self._renewed_at = 0.0
        self._caught_up = False
        self.wake = asyncio.Event()

    # ---- states ----------------------------------------------------------------------------

    def _move(self, to: Role, why: str) -> None:
        """The one place where the role changes."""
        if to is self.role:
            return
        assert to in STEPS[self.role], f"{self.role} to {to}"
        level = logging.DEBUG if Role.CANDIDATE in (to, self.role) else logging.INFO
        if to is Role.TAKING_OVER:
            level = logging.INFO
        log.log(
            level, "leadership: %s to %s (epoch %d): %s", self.role.value, to.value, self.epoch, why
        )
        self.role = to
        self._on_role(to)

    @property
    def acting(self) -> bool:
        """May answer workers with 200: nobody newer is known, and the hold-over is not over."""
        return self.role in ACTING and self._now() < self._hold_over_end()

    @property
    def leading(self) -> bool:
        return self.role is Role.LEADING and self._now() < self._lease_end()

    @property
    def starting(self) -> bool:
        """May tell workers to start something: it knows what was cancelled until a moment ago."""
        return self.leading and self._now() < self._watch_cache.current_as_of + LIFE_S

    @property
    def home(self) -> str | None:
        return self.leader["node"] if self.leader else None

    def fence(self) -> Fence | None:
        """The conditions of every claim, or None when there is no right to claim."""
        if self.role not in (Role.TAKING_OVER, Role.LEADING):
            return None
        conditions = [
            protocol.when(KEY_PREFIX + "lead", self._fence_stamp),
            protocol.when(KEY_PREFIX + "epoch", self._fence_stamp),
        ]
        return Fence(self.epoch, conditions)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _lease_end(self) -> float:
        return self._renewed_at + LIFE_S / DRIFT

    def _hold_over_end(self) -> float:
        """Until when workers may be answered.

        A renewal shows that nobody newer leads, not that this node has read what others wrote: its
        watch may have stood still, or its answers been lost, while renewals went through. Whatever
        is not known here was cancelled after the newest complete read.
        """
        return min(self._renewed_at, self._watch_cache.current_as_of) + self._hold_over_s

    # ---- what others show --------------------------------------------------------------------

    def on_key(self, key: str, value: Any, stamp: int) -> None:
        if key == "epoch" and value is not None:
            # Whose it is, the lead key tells, which is always written along with it.
            self._stored_epoch, self._stored_epoch_stamp = int(value), stamp
            self.known_epoch = max(self.known_epoch, int(value))
        elif key == "lead":
            self.leader = value
            ours = value is not None and value["nonce"] == self._nonce
            if self.role in ACTING and not ours and stamp > self._fence_stamp:
                self._step_down("the lead key is gone or another's")
            elif self.role in ACTING and ours:
                self._adopt_token(int(value["epoch"]), stamp)
            if value is not None:
                self.saw_epoch(int(value["epoch"]))
        self.wake.set()

    def saw_epoch(self, epoch: int) -> None:
        """Somebody knows this epoch, or token. One that we may have written is no newer leader's"""
        self.known_epoch = max(self.known_epoch, epoch)
        if self.role in ACTING and epoch > self.token and epoch != self._raising_to:
            self._step_down(f"epoch {epoch} is newer")

    def _step_down(self, why: str) -> None:
        self._move(Role.FOLLOWER, why)
        self.wake.set()

    def woke(self) -> None:
        """This process stood still. Past its lease another may lead by now: until the state service
        has answered, it commands nothing and does not show itself as the leader."""
        if self.role in (Role.LEADING, Role.TAKING_OVER) and self._now() >= self._lease_end():
            self._move(Role.HOLDING_OVER, "it stood still past its lease")
        self.wake.set()

    async def resign(self, why: str, abstain_s: float) -> None:
        """Give the lead away, as one who cannot reach the workers must."""
        self.abstain_until = self._now() + abstain_s
        lease = self._lease
        self._step_down(why)
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
        if self.role in ACTING:
            return await self._renew()
        if not self._watch_cache.loaded.is_set() or self._now() < self.abstain_until:
            return 0.2
        if self.leader is not None:
            stale = self.leader["node"] == self._node and self.leader["nonce"] != self._nonce
            if stale:
                # An earlier life of this very node: it is dead, its lease need not run out.
                log.info("leadership: ending the lease of an earlier life of this node")
                await self._revoke(int(self.leader["lease"]))
                await self._watch_cache.refresh()
            return 0.2
        await asyncio.sleep(self._random.uniform(0.0, 0.15))
        if not await self._watch_cache.refresh() or self.leader is not None:
            return 0.2
        await self._campaign()
        return 0.05

    async def _campaign(self) -> None:
        self._move(Role.CANDIDATE, "there is no leader")
        started = self._now()
        try:
            lease = await self._client.grant_lease(LIFE_S)
        except (StateUnavailableError, StateResultUnknownError):
            self._move(Role.FOLLOWER, "no lease to be had")
            raise
        epoch = self._stored_epoch + 1
        self._nonce = f"{self._node}-{self._random.getrandbits(64):016x}"
        value = {"node": self._node, "nonce": self._nonce, "epoch": epoch, "lease": lease}
        conditions = [
            protocol.when(KEY_PREFIX + "lead", 0),
            protocol.when(KEY_PREFIX + "epoch", self._stored_epoch_stamp),
        ]
        ops = [
            protocol.put(KEY_PREFIX + "lead", value, lease),
            protocol.put(KEY_PREFIX + "epoch", epoch),
        ]
        try:
            stamp = await self._client.transact(conditions, ops)
        except (TransactionConflictError, LeaseExpiredError, StateUnavailableError) as error:
            self._move(Role.FOLLOWER, f"not elected: {error}")
            await self._revoke(lease)
            return
        except StateResultUnknownError:
            stamp = 0
            if await self._watch_cache.refresh() and self.leader is not None:
                mine = self.leader["nonce"] == self._nonce
                stamp = self._watch_cache.revisions["lead"] if mine else 0
            if not stamp:
                # The transaction may come late. Without its lease it cannot be applied.
                self._move(Role.FOLLOWER, "election unanswered")
                await self._revoke(lease)
                return
        if self.known_epoch > epoch:
            self._move(Role.FOLLOWER, "a newer epoch is known")
            await self._revoke(lease)
            return
        self.epoch = self.token = self.known_epoch = epoch
        self._raising_to = 0
        self._lease = lease
        self._fence_stamp = stamp
        self._renewed_at = started
        self.elected_at = self._now()
        self._caught_up = False
        self._move(Role.TAKING_OVER, "elected")
        asyncio.create_task(self._take_over())

    async def _take_over(self) -> None:
        while self.role is Role.TAKING_OVER:
            if await self._watch_cache.refresh():
                break
            await asyncio.sleep(0.2)
        if self.role is Role.TAKING_OVER:
            await self._on_elected()
        if self.role is Role.TAKING_OVER:
            self._caught_up = True
            self._move(Role.LEADING, "state reloaded, workers being read")

    # ---- a higher token under the same lead ----------------------------------------------------

    async def raise_token(self) -> bool:
        """Show workers a higher token from now on, so that all commands sent so far are refused.

        To be called while no claim is under way, for the conditions of claims change with it. The
        write holds only under our lease and our present token; unanswered, it is repeated until
        its fate is known. True if the token is higher now.
        """
        epoch, before = self.epoch, self.token
        self._raising_to = before + 1
        while self.role is Role.LEADING and self.epoch == epoch and self.token == before:
            if await self._write_token(before + 1):
                break
            await asyncio.sleep(RETRY_S)
        return self.role in ACTING and self.epoch == epoch and self.token > before

    async def _write_token(self, token: int) -> bool:
        """One try. True if its fate is known: the token is written, or can't be any more."""
        fence, lease = self.fence(), self._lease
        if fence is None or lease is None:
            return True
        value = {"node": self._node, "nonce": self._nonce, "epoch": token, "lease": lease}
        ops = [
            protocol.put(KEY_PREFIX + "lead", value, lease),
            protocol.put(KEY_PREFIX + "epoch", token),
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
            return self.token >= token
        except (TransactionConflictError, LeaseExpiredError):
            # An earlier copy counts, or this node leads no more: the keys say which.
            if not await self._watch_cache.refresh():
                return False
            self._raising_to = 0
            self.saw_epoch(self.known_epoch)
            return True
        if self.role in ACTING and self.epoch == fence.epoch:
            self._adopt_token(token, stamp)
        return True

    def _adopt_token(self, token: int, stamp: int) -> None:
        """A token that is written under our own lead is ours, whether or not we were told so."""
        if token <= self.token:
            return
        log.info("leadership: token raised from %d to %d (epoch %d)", self.token, token, self.epoch)
        self.token = token
        self.known_epoch = max(self.known_epoch, token)
        self._raising_to = 0
        self._fence_stamp = stamp
        self._on_token(token)

    async def _renew(self) -> float:
        assert self._lease is not None
        lease, started = self._lease, self._now()
        try:
            await self._client.renew_lease(lease, timeout=0.9)
            if self.role in ACTING and lease == self._lease:
                self._renewed_at = started
                if self.role is Role.HOLDING_OVER and self._caught_up:
                    # What others wrote meanwhile has to be read before anything is commanded.
                    if await self._watch_cache.refresh() and self.role is Role.HOLDING_OVER:
                        self._move(Role.LEADING, "lease renewed after all")
                elif self.role is Role.HOLDING_OVER:
                    # The outage came in the middle of the take-over: it has to be done again.
                    self._move(Role.TAKING_OVER, "lease renewed after all")
                    asyncio.create_task(self._take_over())
            return RENEW_S
        except LeaseExpiredError:
            if self.role in ACTING and lease == self._lease:
                self._step_down("the lease has ended")
            return 0.05
        except (StateUnavailableError, StateResultUnknownError) as error:
            now = self._now()
            if self.role in ACTING and now > self._lease_end():
                if now > self._hold_over_end():
                    self._step_down("the hold-over is over")
                elif self.role is not Role.HOLDING_OVER:
                    self._move(Role.HOLDING_OVER, f"state service: {error}")
            return 0.25
