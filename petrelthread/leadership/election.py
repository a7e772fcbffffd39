"""Leader election as a state machine.

Two controllers may briefly both believe that they lead. Safety does not depend on the lease but on
two checks made elsewhere: the state service applies a claim only if the leader keys are unchanged
since the claim's writer wrote them (``Election.fence``), and workers refuse commands whose fencing
token is lower than the highest they have seen.
"""

from __future__ import annotations

import asyncio
import logging
import random

from petrelthread.background_tasks import BackgroundTasks
from petrelthread.leadership.campaign import Campaign, CampaignLostError
from petrelthread.leadership.fencing_token import FencingTokenRaiser
from petrelthread.leadership.leader_keys import EPOCH_KEY, LEADER_KEY
from petrelthread.leadership.leader_lease import LEASE_TTL_S, RENEW_INTERVAL_S, LeaderLease
from petrelthread.leadership.leadership_state import LeadershipState
from petrelthread.leadership.roles import ACTIVE_ROLES, TRANSITIONS, LeadershipListener, Role
from petrelthread.state import IllegalTransitionError, LeaderRecord, decode_leader
from petrelthread.state.stored_records import StoredValue
from petrelthread.store import (
    LeaseExpiredError,
    StateClient,
    StateResultUnknownError,
    StateUnavailableError,
    WatchCache,
)

log = logging.getLogger(__name__)

# Delays before the next step. Events that may change the role set ``Election._wake``, which ends
# the delay early.
FOLLOWER_STEP_INTERVAL_S = 0.2
STATE_SERVICE_RETRY_S = 0.3
RENEW_RETRY_S = 0.25
ROLE_CHANGE_STEP_S = 0.05  # after a campaign or an expired lease
FAILOVER_RETRY_S = 0.2  # between two attempts to read the state after the election
MAX_CAMPAIGN_DELAY_S = 0.15  # random delay, so that candidates campaign at different times


class Election(LeadershipState):
    """Takes part in the election and changes this controller's role.

    ``LeadershipState`` defines what each role allows.
    """

    def __init__(
        self,
        node_name: str,
        client: StateClient,
        watch_cache: WatchCache,
        lease_grace_s: float,
        randomness: random.Random,
        listener: LeadershipListener,
    ) -> None:
        """Start as a follower; ``run`` takes part in the election.

        Args:
            node_name: This controller's host name.
            client: The state service.
            watch_cache: Its listener must pass changes of the leader keys to ``on_key``.
            lease_grace_s: How long an active controller goes on answering workers after its last
                contact with the state service.
            randomness: Source of delays and nonces.
            listener: Notified of changes of the role and the fencing token.
        """
        super().__init__(watch_cache, lease_grace_s)
        self._node_name = node_name
        self._client = client
        self._random = randomness
        self._listener = listener
        self._campaign_writer = Campaign(client, watch_cache, lambda: self.leader)
        self._token_raiser = FencingTokenRaiser(self, client, watch_cache)
        self._state_loaded = False  # whether the failover of the latest election has completed
        self._nonce = ""  # of this controller's latest campaign, won or lost
        self._stored_epoch = 0  # the epoch key as last read
        self._stored_epoch_revision = 0
        self._abstain_until = 0.0
        self._failover_tasks = BackgroundTasks()
        self._wake = asyncio.Event()  # ends the delay before the next step

    # ---- role changes --------------------------------------------------------------------------

    def _transition(self, target: Role, reason: str) -> None:
        """Change the role; every change goes through this method.

        Raises:
            IllegalTransitionError: ``TRANSITIONS`` has no such change.
        """
        if target is self.role:
            return
        if target not in TRANSITIONS[self.role]:
            raise IllegalTransitionError(
                f"no transition from role {self.role.value} to {target.value}"
            )
        # Campaigns fail often while the state service is down, so they are logged at debug level.
        is_campaign = target is Role.CANDIDATE or (
            self.role is Role.CANDIDATE and target is Role.FOLLOWER
        )
        log.log(
            logging.DEBUG if is_campaign else logging.INFO,
            "leadership: %s to %s (epoch %d): %s",
            self.role.value,
            target.value,
            self.epoch,
            reason,
        )
        self.role = target
        self._listener.on_role_changed(target)

    def _step_down(self, reason: str) -> None:
        self._transition(Role.FOLLOWER, reason)
        self._wake.set()

    def observe_epoch(self, epoch: int) -> None:
        """Record an epoch or fencing token seen in a message; step down if it is newer.

        A token that this controller may have written itself is no evidence of a newer leader.
        """
        self.highest_known_epoch = max(self.highest_known_epoch, epoch)
        is_own = epoch <= self.fencing_token or epoch == self._token_raiser.unconfirmed_token
        if self.role in ACTIVE_ROLES and not is_own:
            self._step_down(f"newer epoch {epoch} seen")

    def on_process_resumed(self) -> None:
        """Enter the lease grace period after a process pause that outlasted the lease.

        Another controller may have been elected meanwhile. Until the lease has been renewed, this
        one sends no commands and does not report itself as the leader.
        """
        if self.role in (Role.LEADING, Role.FAILING_OVER) and self._now() >= self._lease.expires_at:
            self._transition(Role.LEASE_GRACE, "process pause outlasted the lease")
        self._wake.set()

    async def resign(self, reason: str, abstain_s: float) -> None:
        """Step down, revoke the lease and do not campaign for ``abstain_s`` seconds."""
        self._abstain_until = self._now() + abstain_s
        lease_id = self._lease.lease_id
        self._step_down(reason)
        if lease_id is not None:
            await self._revoke(lease_id)

    async def _revoke(self, lease_id: int) -> None:
        """Revoke a lease; if that fails, the lease expires at the end of its time to live."""
        try:
            await self._client.revoke_lease(lease_id)
        except (StateUnavailableError, StateResultUnknownError) as error:
            log.debug("leadership: lease %d not revoked: %s", lease_id, error)

    # ---- leader keys ---------------------------------------------------------------------------

    def on_key(self, key: str, value: StoredValue, revision: int) -> None:
        """Apply a change of a leader key; ``value`` is None if the key was deleted."""
        if key == EPOCH_KEY and value is not None:
            self._on_epoch_key(int(value), revision)
        elif key == LEADER_KEY:
            leader = None if value is None else decode_leader(value)
            self._on_leader_key(leader, revision)
        self._wake.set()

    def _on_epoch_key(self, epoch: int, revision: int) -> None:
        # A change of this key does not change the role: the leader key, which is written in the
        # same transaction, shows which controller has the epoch.
        self._stored_epoch, self._stored_epoch_revision = epoch, revision
        self.highest_known_epoch = max(self.highest_known_epoch, epoch)

    def _on_leader_key(self, leader: LeaderRecord | None, revision: int) -> None:
        self.leader = leader
        is_own = leader is not None and leader.nonce == self._nonce
        if self.role in ACTIVE_ROLES and not is_own and revision > self._fence_revision:
            self._step_down("the leader key was deleted or another controller wrote it")
        elif self.role in ACTIVE_ROLES and leader is not None and is_own:
            self.adopt_token(leader.epoch, revision)
        if leader is not None:
            self.observe_epoch(leader.epoch)

    # ---- loop ----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Take part in the election until the task is cancelled."""
        while True:
            try:
                delay_s = await self._step()
            except (StateUnavailableError, StateResultUnknownError) as error:
                log.debug("leadership: state service failed: %s", error)
                delay_s = STATE_SERVICE_RETRY_S
            self._wake.clear()
            try:
                async with asyncio.timeout(delay_s):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _step(self) -> float:
        """Renew the lease or campaign; return the seconds until the next step."""
        if self.role in ACTIVE_ROLES:
            return await self._renew_lease()
        if not self._watch_cache.loaded.is_set() or self._now() < self._abstain_until:
            return FOLLOWER_STEP_INTERVAL_S
        if self.leader is not None:
            if self._is_own_earlier_incarnation(self.leader):
                log.info("leadership: revoking the lease of an earlier incarnation of this node")
                await self._revoke(self.leader.lease)
                await self._watch_cache.refresh()
            return FOLLOWER_STEP_INTERVAL_S
        await asyncio.sleep(self._random.uniform(0.0, MAX_CAMPAIGN_DELAY_S))
        if not await self._watch_cache.refresh() or self.leader is not None:
            return FOLLOWER_STEP_INTERVAL_S
        await self._campaign()
        return ROLE_CHANGE_STEP_S

    def _is_own_earlier_incarnation(self, leader: LeaderRecord) -> bool:
        """Whether this node wrote the leader key before a restart; that process has exited."""
        return leader.node == self._node_name and leader.nonce != self._nonce

    # ---- candidate -----------------------------------------------------------------------------

    async def _campaign(self) -> None:
        """Campaign once."""
        self._transition(Role.CANDIDATE, "there is no leader")
        requested_at = self._now()
        try:
            lease_id = await self._client.grant_lease(LEASE_TTL_S)
        except (StateUnavailableError, StateResultUnknownError):
            self._transition(Role.FOLLOWER, "no lease granted")
            raise
        epoch = self._stored_epoch + 1
        self._nonce = f"{self._node_name}-{self._random.getrandbits(64):016x}"
        record = LeaderRecord(self._node_name, self._nonce, epoch, lease_id)
        try:
            revision = await self._campaign_writer.run(record, self._stored_epoch_revision)
            self._check_epoch_is_newest(epoch)
        except CampaignLostError as lost:
            self._transition(Role.FOLLOWER, str(lost))
            await self._revoke(lease_id)
            return
        self._begin_leadership(record, LeaderLease(lease_id, requested_at), revision)

    def _check_epoch_is_newest(self, epoch: int) -> None:
        if self.highest_known_epoch > epoch:
            raise CampaignLostError("a newer epoch is known")

    def _begin_leadership(self, record: LeaderRecord, lease: LeaderLease, revision: int) -> None:
        """Start the failover after a campaign that succeeded."""
        self.epoch = self.fencing_token = self.highest_known_epoch = record.epoch
        self._token_raiser.unconfirmed_token = 0
        self._lease = lease
        self._fence_revision = revision
        self.elected_at = self._now()
        self._state_loaded = False
        self._transition(Role.FAILING_OVER, "elected")
        self._failover_tasks.start(self._fail_over())

    # ---- leader --------------------------------------------------------------------------------

    async def _fail_over(self) -> None:
        """Read what earlier leaders wrote, then lead; return early if the role changes."""
        while self.role is Role.FAILING_OVER:
            if await self._watch_cache.refresh():
                break
            await asyncio.sleep(FAILOVER_RETRY_S)
        if self.role is Role.FAILING_OVER:
            await self._listener.on_elected()
        if self.role is Role.FAILING_OVER:
            self._state_loaded = True
            self._transition(Role.LEADING, "state reloaded, reading worker status")

    async def _renew_lease(self) -> float:
        """Renew the lease once; return the seconds until the next step."""
        lease = self._lease
        try:
            renewed_at = await lease.renew(self._client)
        except LeaseExpiredError:
            if self._is_active_with(lease):
                self._step_down("the lease has expired")
            return ROLE_CHANGE_STEP_S
        except (StateUnavailableError, StateResultUnknownError) as error:
            self._on_renewal_failed(error)
            return RENEW_RETRY_S
        if self._is_active_with(lease):
            lease.renewed_at = renewed_at
            if self.role is Role.LEASE_GRACE:
                await self._leave_lease_grace()
        return RENEW_INTERVAL_S

    def _is_active_with(self, lease: LeaderLease) -> bool:
        """Whether this controller is active with this lease, not with that of a later election."""
        return self.role in ACTIVE_ROLES and lease is self._lease

    async def _leave_lease_grace(self) -> None:
        """Resume leading after a renewal showed that the lease had not expired."""
        if not self._state_loaded:
            # The outage interrupted the failover, which has to be repeated.
            self._transition(Role.FAILING_OVER, "the lease had not expired and was renewed")
            self._failover_tasks.start(self._fail_over())
        # Writes of other controllers have to be read before any command is sent.
        elif await self._watch_cache.refresh() and self.role is Role.LEASE_GRACE:
            self._transition(Role.LEADING, "the lease had not expired and was renewed")

    def _on_renewal_failed(self, error: StateUnavailableError | StateResultUnknownError) -> None:
        """Enter the lease grace period if the lease may have expired; step down when it ends."""
        now = self._now()
        if self.role not in ACTIVE_ROLES or now <= self._lease.expires_at:
            return
        if now > self._lease_grace_end():
            self._step_down("the lease grace period has ended")
        elif self.role is not Role.LEASE_GRACE:
            self._transition(Role.LEASE_GRACE, f"lease not renewed: {error}")

    # ---- fencing token -------------------------------------------------------------------------

    async def raise_fencing_token(self) -> bool:
        """Raise the token, so that workers refuse every command sent so far.

        Returns whether the token was raised. Must not be called while a claim is in flight; see
        ``FencingTokenRaiser.raise_token``.
        """
        return await self._token_raiser.raise_token()

    def record_with_token(self, token: int) -> LeaderRecord | None:
        """Return this controller's leader record with another token, or None without a lease."""
        lease_id = self._lease.lease_id
        if lease_id is None:
            return None
        return LeaderRecord(self._node_name, self._nonce, token, lease_id)

    def adopt_token(self, token: int, revision: int) -> None:
        """Use a higher token that was written to the leader keys under this controller's lease.

        Called for the response to the write and for the watch; the first of the two takes effect.
        """
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
        self._token_raiser.unconfirmed_token = 0
        self._fence_revision = revision
        self._listener.on_fencing_token_raised(token)
