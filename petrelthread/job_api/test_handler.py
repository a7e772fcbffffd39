"""What users may send, and the statuses of the responses."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from petrelthread import protocol
from petrelthread.state import JobRecord, encode
from tests.simulation import Simulation, job
from tests.virtual import play


async def simulation_with_leader() -> Simulation:
    """Controllers one of which has led for a second."""
    simulation = Simulation()
    await simulation.wait_for_leader()
    await asyncio.sleep(1.0)
    return simulation


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
def test_a_malformed_job_is_400(change: dict[str, Any]) -> None:
    spec = {k: v for k, v in {**job("wk-000001", 2), **change}.items() if v is not ...}
    with pytest.raises(protocol.BadRequestError):
        protocol.parse_job(orjson.dumps(spec))


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"\xff\xfe", b'{"name_id":1e999}', b"null"])
def test_a_body_that_is_no_object_is_400(body: bytes) -> None:
    with pytest.raises(protocol.BadRequestError):
        protocol.parse_job(body)


def test_infinite_amounts_are_400() -> None:
    body = orjson.dumps(job("wk-000001", 2, cores=7.25)).replace(b"7.25", b"1e999")
    with pytest.raises(protocol.BadRequestError):
        protocol.parse_job(body)


@pytest.mark.parametrize(
    "change",
    [
        {"team": "green"},
        {"cores": 5.0},
        {"cores": 13.0},
        {"machine_types": ["big"]},
        {"accelerators": 1.0},
        {"ram_gb": 9.0},
        {"zone": "c"},
    ],
    ids=str,
)
def test_a_job_that_can_never_run_is_422(change: dict[str, Any]) -> None:
    async def main() -> None:
        simulation = await simulation_with_leader()
        status, _ = await simulation.ask("n0", "POST", "/v2/runs", job("wk-000009", 1, **change))
        assert status == 422
        assert (await simulation.ask("n1", "GET", "/v2/runs/wk-000009"))[0] == 404

    play(main())


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/v2/runs/wk-000009", 404),
        ("POST", "/v2/runs/wk-000009/withdraw", 404),
        ("GET", "/v2/runs", 405),
        ("GET", "/nowhere", 404),
    ],
)
def test_unknown_jobs_paths_and_methods_are_404_or_405(
    method: str, path: str, expected: int
) -> None:
    async def main() -> None:
        simulation = await simulation_with_leader()
        assert (await simulation.ask("n1", method, path))[0] == expected

    play(main())


def test_one_of_several_submissions_creates_the_job_and_none_is_checked_again() -> None:
    async def main() -> None:
        simulation = await simulation_with_leader()
        spec = simulation.jobs["wk-000001"] = job("wk-000001", 1)
        answers = await asyncio.gather(
            *(simulation.ask(node, "POST", "/v2/runs", spec) for node in simulation.nodes)
        )
        assert sorted(status for status, _ in answers) == [200, 200, 201]
        status, _ = await simulation.ask(
            "n0", "POST", "/v2/runs", job("wk-000001", 1, team="green")
        )
        assert status == 200

    play(main())


def test_an_outage_of_the_state_service_is_503_at_once() -> None:
    async def main() -> None:
        simulation = await simulation_with_leader()
        simulation.state_service.set_outage(True)
        before = asyncio.get_running_loop().time()
        assert (await simulation.ask("n2", "POST", "/v2/runs", job("wk-000002", 1)))[0] == 503
        assert (await simulation.ask("n2", "GET", "/v2/runs/wk-000003"))[0] == 503
        assert asyncio.get_running_loop().time() - before < 1.0

    play(main())


@pytest.mark.parametrize(("refusals", "expected"), [(2, 201), (9, 503)])
def test_a_write_that_exceeds_the_rate_of_the_state_service_is_retried(
    refusals: int, expected: int
) -> None:
    """A user who is turned away comes back only after seconds."""

    async def main() -> None:
        simulation = await simulation_with_leader()
        handle, left = simulation.state_service.handle, refusals

        async def busy(source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
            nonlocal left
            submission = target == "/multi" and "pt/j/" in str(body)
            if submission and left:
                left -= 1
                return 429, {}
            return await handle(source, method, target, body)

        simulation.net.hosts["state:1"] = busy
        simulation.jobs["wk-000001"] = job("wk-000001", 2)
        asked = asyncio.get_running_loop().time()
        status, _ = await simulation.ask("n0", "POST", "/v2/runs", simulation.jobs["wk-000001"])
        assert status == expected
        assert asyncio.get_running_loop().time() - asked < 1.0  # never held back for long

    play(main())


def test_a_description_beyond_the_limit_is_400_unless_it_was_accepted_before() -> None:
    """The limit may have been larger then, and the job be unknown to this controller so far."""

    async def main() -> None:
        simulation = Simulation()
        await simulation.wait_for_leader()
        large = job("wk-000001", 1, image="img-" + "x" * 5000)
        status, answer = await simulation.ask("n1", "POST", "/v2/runs", large)
        assert status == 400
        assert "too large" in answer["error"]
        spec = protocol.parse_job(orjson.dumps(large))
        stored = encode(JobRecord.from_spec(spec, 0.0))
        simulation.state_service._apply([{"put": "pt/j/wk-000001", "v": stored}])
        for node in ("n1", "n2"):
            status, answer = await simulation.ask(node, "POST", "/v2/runs", large)
            assert (status, answer["name_id"]) == (200, "wk-000001")

    play(main())
