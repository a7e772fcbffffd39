"""What each role allows, on which evidence, and how long that evidence is valid."""

from __future__ import annotations

import asyncio

import pytest

from petrelthread.http import ClientResponse
from petrelthread.leadership import Role
from petrelthread.leadership.leader_lease import LEASE_TTL_S, LeaderLease
from petrelthread.leadership.leadership_state import LeadershipState
from petrelthread.settings import CLOCK_DRIFT_FACTOR
from petrelthread.store import StateClient, TokenBucket, WatchCache
from tests.virtual_time import run_in_virtual_time

LEASE_GRACE_S = 10.0
MARGIN_S = 0.001  # shorter than the allowance for clock drift


def now() -> float:
    return asyncio.get_running_loop().time()


def state_in(role: Role, renewed_at: float, current_as_of: float) -> LeadershipState:
    """A controller in a role, with a lease renewal and a state read at the given times."""

    async def request(*_args: object, **_kwargs: object) -> ClientResponse:
        raise AssertionError("unexpected request to the state service")

    client = StateClient(request, "state:1", TokenBucket(1.0, 1.0), TokenBucket(1.0, 1.0))
    watch_cache = WatchCache(client, lambda key, value, revision: None, 0.15)
    watch_cache.current_as_of = current_as_of
    state = LeadershipState(watch_cache, LEASE_GRACE_S)
    state.role = role
    state._lease = LeaderLease(1, renewed_at)
    return state


@pytest.mark.parametrize(
    ("role", "is_leader", "may_answer_workers", "may_write"),
    [
        (Role.FOLLOWER, False, False, False),
        (Role.CANDIDATE, False, False, False),
        (Role.FAILING_OVER, False, True, True),
        (Role.LEADING, True, True, True),
        (Role.LEASE_GRACE, False, True, False),
    ],
    ids=["follower", "candidate", "failing over", "leading", "lease grace"],
)
def test_what_each_role_allows_with_fresh_evidence(
    role: Role, is_leader: bool, may_answer_workers: bool, may_write: bool
) -> None:
    async def scenario() -> None:
        state = state_in(role, now(), now())
        assert state.is_leader is is_leader
        assert state.may_start_tasks is is_leader
        assert state.may_answer_workers is may_answer_workers
        assert (state.fence() is not None) is may_write

    run_in_virtual_time(scenario())


def test_a_leader_leads_until_its_lease_expiry_less_clock_drift() -> None:
    async def scenario() -> None:
        state = state_in(Role.LEADING, now(), now() + LEASE_TTL_S)
        await asyncio.sleep(LEASE_TTL_S / CLOCK_DRIFT_FACTOR - MARGIN_S)
        assert state.is_leader
        await asyncio.sleep(2 * MARGIN_S)
        assert not state.is_leader
        assert not state.may_start_tasks
        assert state.fence() is not None  # the state service checks the conditions

    run_in_virtual_time(scenario())


def test_a_leader_whose_last_complete_read_is_stale_may_not_start_tasks() -> None:
    async def scenario() -> None:
        state = state_in(Role.LEADING, now(), now() - LEASE_TTL_S)
        assert state.is_leader
        assert not state.may_start_tasks

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("older", ["renewal", "read"])
def test_workers_are_answered_until_a_grace_period_after_the_older_evidence(older: str) -> None:
    async def scenario() -> None:
        fresh, old = now() + LEASE_GRACE_S, now()
        renewed_at, current_as_of = (old, fresh) if older == "renewal" else (fresh, old)
        state = state_in(Role.LEASE_GRACE, renewed_at, current_as_of)
        await asyncio.sleep(LEASE_GRACE_S - MARGIN_S)
        assert state.may_answer_workers
        await asyncio.sleep(2 * MARGIN_S)
        assert not state.may_answer_workers

    run_in_virtual_time(scenario())


MAX_CLOCK_DRIFT = 0.0005  # of each process's clock, according to PROTOCOL


def test_lease_expires_at_its_holder_before_it_expires_at_the_state_service() -> None:
    """The holder's clock runs as slowly as it may, and that of the state service as fast."""
    held_s = LeaderLease(lease_id=1, renewed_at=0.0).expires_at
    duration_s = held_s / (1.0 - MAX_CLOCK_DRIFT)
    assert duration_s * (1.0 + MAX_CLOCK_DRIFT) <= LEASE_TTL_S
