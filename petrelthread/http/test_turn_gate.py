"""No turn of the event loop serves requests for long, and the right ones go first."""

from __future__ import annotations

import asyncio

import pytest

from petrelthread.http.turn_gate import USERS_EVERY, Kind, TurnGate

COST_S = 0.002  # of each request
SPELL_S = 0.02


class Clock:
    """Time that passes only while requests are served."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class Load:
    """Requests that each take the processor for a while, and who was served in which turn."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.gate = TurnGate(self.clock, SPELL_S)
        self.turns = 0
        self.served: list[tuple[int, Kind]] = []  # turn of the loop, and whose request

    async def request(self, kind: Kind) -> None:
        await self.gate.turn(kind)
        self.clock.now += COST_S
        self.served.append((self.turns, kind))

    async def count_turns(self) -> None:
        while True:
            self.turns += 1
            await asyncio.sleep(0)


def play(load: Load, kinds: list[Kind]) -> None:
    async def main() -> None:
        counting = asyncio.create_task(load.count_turns())
        await asyncio.gather(*(load.request(kind) for kind in kinds))
        counting.cancel()

    asyncio.run(main())


@pytest.mark.parametrize("count", [1, 9, 200, 4000])
def test_each_turn_of_the_loop_serves_for_a_bounded_time(count: int) -> None:
    load = Load()
    play(load, [Kind.WORKER] * count)
    assert len(load.served) == count
    by_turn: dict[int, int] = {}
    for turn, _ in load.served:
        by_turn[turn] = by_turn.get(turn, 0) + 1
    # Twice a spell: one that is under way when the next begins in the same turn. While the cost of
    # a request is still being learnt, what is released together may take up to its first estimate.
    assert max(by_turn.values()) * COST_S <= 2.5 * SPELL_S
    assert load.gate.waiting == 0


def test_workers_go_first_and_users_do_not_stand_still() -> None:
    load = Load()
    play(load, [Kind.USER] * 100 + [Kind.WORKER] * 100)
    first = [kind for _, kind in load.served[20:80]]
    users = first.count(Kind.USER) / len(first)
    assert users == pytest.approx(1 / USERS_EVERY, abs=0.1)


def test_a_request_given_up_while_it_waits_holds_up_no_other() -> None:
    load = Load()

    async def main() -> None:
        tasks = [asyncio.create_task(load.request(Kind.WORKER)) for _ in range(100)]
        await asyncio.sleep(0)
        for task in tasks[20:90]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(main())
    assert 30 <= len(load.served) < 100
    assert load.gate.waiting == 0
