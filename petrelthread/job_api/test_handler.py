"""What users may send, and what they are told."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from petrelthread import protocol
from petrelthread.state import JobRecord, encode
from tests.virtual import play
from tests.world import World, job


@pytest.mark.parametrize(
    "change",
    [
        {"legs": 0},
        {"legs": 100_001},
        {"legs": 1.5},
        {"legs": True},
        {"cores": "two"},
        {"cores": -1.0},
        {"rank": "urgent"},
        {"shape": "pile"},
        {"name_id": "job-1"},
        {"name_id": None},
        {"hulls": "small"},
        {"due_s": -5.0},
        {"crew": ...},
        {"guess_s": ...},
        {"mark_s": None},
        {"stow_s": ...},
        {"shape": "service", "mark_s": -1.0},
        {"shape": "service", "legs": 0},
    ],
)
def test_malformed_is_400(change: dict[str, Any]) -> None:
    spec = {k: v for k, v in {**job("wk-000001", 2), **change}.items() if v is not ...}
    with pytest.raises(protocol.BadRequestError):
        protocol.parse_job(orjson.dumps(spec))


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"\xff\xfe", b'{"name_id":1e999}', b"null"])
def test_not_an_object_is_400(body: bytes) -> None:
    with pytest.raises(protocol.BadRequestError):
        protocol.parse_job(body)


def test_infinite_amounts_are_400() -> None:
    body = orjson.dumps(job("wk-000001", 2, cores=7.25)).replace(b"7.25", b"1e999")
    with pytest.raises(protocol.BadRequestError):
        protocol.parse_job(body)


def test_statuses() -> None:
    async def main() -> None:
        world = World()
        await world.led()
        await asyncio.sleep(1.0)
        ask = world.ask
        too_big: list[dict[str, Any]] = [
            {"crew": "green"},
            {"cores": 5.0},
            {"cores": 13.0},
            {"hulls": ["big"]},
        ]
        for change in [*too_big, {"accelerators": 1.0}, {"ram_gb": 9.0}, {"roost": "c"}]:
            status, _ = await ask("n0", "POST", "/v2/runs", job("wk-000009", 1, **change))
            assert status == 422, change
        assert (await ask("n1", "GET", "/v2/runs/wk-000009"))[0] == 404
        assert (await ask("n1", "POST", "/v2/runs/wk-000009/withdraw"))[0] == 404
        assert (await ask("n1", "GET", "/v2/runs"))[0] == 405
        assert (await ask("n1", "GET", "/nowhere"))[0] == 404
        world.jobs["wk-000001"] = job("wk-000001", 1)
        statuses = await asyncio.gather(
            *(ask(n, "POST", "/v2/runs", world.jobs["wk-000001"]) for n in world.nodes)
        )
        assert sorted(status for status, _ in statuses) == [200, 200, 201]
        # Once accepted, a repeat is never judged again.
        status, _ = await ask("n0", "POST", "/v2/runs", job("wk-000001", 1, crew="green"))
        assert status == 200
        # What cannot be known is said at once.
        world.store.outage(True)
        before = asyncio.get_running_loop().time()
        assert (await ask("n2", "POST", "/v2/runs", job("wk-000002", 1)))[0] == 503
        assert (await ask("n2", "GET", "/v2/runs/wk-000003"))[0] == 503
        assert asyncio.get_running_loop().time() - before < 1.0

    play(main())


@pytest.mark.parametrize(("refusals", "expected"), [(2, 201), (9, 503)])
def test_a_write_refused_for_its_rate_alone_takes_its_turn_again(
    refusals: int, expected: int
) -> None:
    """102 jobs at the start exceeded the service's burst; their users came back 2 s later."""

    async def main() -> None:
        world = World()
        await world.led()
        await asyncio.sleep(1.0)
        handle, left = world.store.handle, refusals

        async def busy(source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
            nonlocal left
            submission = target == "/multi" and "pt/j/" in str(body)
            if submission and left:
                left -= 1
                return 429, {}
            return await handle(source, method, target, body)

        world.net.hosts["state:1"] = busy
        world.jobs["wk-000001"] = job("wk-000001", 2)
        asked = asyncio.get_running_loop().time()
        status, _ = await world.ask("n0", "POST", "/v2/runs", world.jobs["wk-000001"])
        assert status == expected
        assert asyncio.get_running_loop().time() - asked < 1.0  # never held back for long

    play(main())


def test_a_description_beyond_the_limit_is_400_unless_it_was_accepted_before() -> None:
    """The limit had been larger when the job was accepted, and this node has not read it yet."""

    async def main() -> None:
        world = World()
        await world.led()
        large = job("wk-000001", 1, bundle="img-" + "x" * 5000)
        status, answer = await world.ask("n1", "POST", "/v2/runs", large)
        assert status == 400 and "too large" in answer["error"]
        spec = protocol.parse_job(orjson.dumps(large))
        stored = encode(JobRecord.from_spec(spec, 0.0))
        world.store._apply([{"put": "pt/j/wk-000001", "v": stored}])
        for node in ("n1", "n2"):
            status, answer = await world.ask(node, "POST", "/v2/runs", large)
            assert (status, answer["name_id"]) == (200, "wk-000001")

    play(main())
