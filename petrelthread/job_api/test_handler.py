"""Tests of the job API: validation of requests and the statuses of responses."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from petrelthread import protocol
from petrelthread.state import JobRecord, encode
from tests.simulation import Simulation, job_spec
from tests.virtual_time import run_in_virtual_time


async def simulation_with_leader() -> Simulation:
    """Start controllers and wait until one has been the leader for a second."""
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
def test_job_with_an_invalid_or_missing_field_is_rejected(change: dict[str, Any]) -> None:
    spec = {k: v for k, v in {**job_spec("wk-000001", 2), **change}.items() if v is not ...}
    with pytest.raises(protocol.BadRequestError):
        protocol.parse_job(orjson.dumps(spec))


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"\xff\xfe", b'{"name_id":1e999}', b"null"])
def test_body_that_is_not_a_json_object_is_rejected(body: bytes) -> None:
    with pytest.raises(protocol.BadRequestError):
        protocol.parse_job(body)


def test_infinite_amount_is_rejected() -> None:
    body = orjson.dumps(job_spec("wk-000001", 2, cores=7.25)).replace(b"7.25", b"1e999")
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
def test_job_that_can_never_run_gets_422_and_is_not_stored(change: dict[str, Any]) -> None:
    async def main() -> None:
        simulation = await simulation_with_leader()
        status, _ = await simulation.ask(
            "n0", "POST", "/v2/runs", job_spec("wk-000009", 1, **change)
        )
        assert status == 422
        assert (await simulation.ask("n1", "GET", "/v2/runs/wk-000009"))[0] == 404

    run_in_virtual_time(main())


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/v2/runs/wk-000009", 404),
        ("POST", "/v2/runs/wk-000009/withdraw", 404),
        ("GET", "/v2/runs", 405),
        ("GET", "/nowhere", 404),
    ],
)
def test_unknown_jobs_and_paths_get_404_and_wrong_methods_405(
    method: str, path: str, expected: int
) -> None:
    async def main() -> None:
        simulation = await simulation_with_leader()
        assert (await simulation.ask("n1", method, path))[0] == expected

    run_in_virtual_time(main())


def test_repeated_submissions_create_one_job_and_are_not_checked_again() -> None:
    async def main() -> None:
        simulation = await simulation_with_leader()
        spec = simulation.jobs["wk-000001"] = job_spec("wk-000001", 1)
        responses = await asyncio.gather(
            *(simulation.ask(node, "POST", "/v2/runs", spec) for node in simulation.nodes)
        )
        assert sorted(status for status, _ in responses) == [200, 200, 201]
        status, _ = await simulation.ask(
            "n0", "POST", "/v2/runs", job_spec("wk-000001", 1, team="green")
        )
        assert status == 200

    run_in_virtual_time(main())


def test_requests_get_503_immediately_during_an_outage_of_the_state_service() -> None:
    async def main() -> None:
        simulation = await simulation_with_leader()
        simulation.state_service.set_outage(True)
        before = asyncio.get_running_loop().time()
        assert (await simulation.ask("n2", "POST", "/v2/runs", job_spec("wk-000002", 1)))[0] == 503
        assert (await simulation.ask("n2", "GET", "/v2/runs/wk-000003"))[0] == 503
        assert asyncio.get_running_loop().time() - before < 1.0

    run_in_virtual_time(main())


@pytest.mark.parametrize(("refusals", "expected"), [(2, 201), (9, 503)])
def test_submission_refused_with_429_by_the_state_service_is_retried_a_few_times(
    refusals: int, expected: int
) -> None:
    """A user whose submission is refused retries only after several seconds."""

    async def main() -> None:
        simulation = await simulation_with_leader()
        handle, refusals_left = simulation.state_service.handle, refusals

        async def rate_limited(source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
            nonlocal refusals_left
            is_submission = target == "/multi" and "pt/j/" in str(body)
            if is_submission and refusals_left:
                refusals_left -= 1
                return 429, {}
            return await handle(source, method, target, body)

        simulation.network.hosts["state:1"] = rate_limited
        simulation.jobs["wk-000001"] = job_spec("wk-000001", 2)
        submitted_at = asyncio.get_running_loop().time()
        status, _ = await simulation.ask("n0", "POST", "/v2/runs", simulation.jobs["wk-000001"])
        assert status == expected
        assert asyncio.get_running_loop().time() - submitted_at < 1.0  # retries are limited

    run_in_virtual_time(main())


def test_too_large_job_gets_400_unless_it_was_accepted_before() -> None:
    """The limit may have been larger at acceptance; this controller may not know the job yet."""

    async def main() -> None:
        simulation = Simulation()
        await simulation.wait_for_leader()
        large = job_spec("wk-000001", 1, image="img-" + "x" * 5000)
        status, response = await simulation.ask("n1", "POST", "/v2/runs", large)
        assert status == 400
        assert "too large" in response["error"]
        spec = protocol.parse_job(orjson.dumps(large))
        stored = encode(JobRecord.from_spec(spec, 0.0))
        simulation.state_service._apply([{"put": "pt/j/wk-000001", "v": stored}])
        for node in ("n1", "n2"):
            status, response = await simulation.ask(node, "POST", "/v2/runs", large)
            assert (status, response["name_id"]) == (200, "wk-000001")

    run_in_virtual_time(main())
