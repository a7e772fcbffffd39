"""Reads the golden files in ``tests/golden`` and records traffic to compare with them.

A golden file contains sections of cases, each with its input and expected output, but no names of
classes, functions or attributes of the code.
"""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from typing import Any

import orjson

from petrelthread.emulator.environment import RequestHandler
from petrelthread.http import ClientResponse, Response
from petrelthread.store import StateClient, TokenBucket
from tests.simulation import Simulation

DIRECTORY = Path(__file__).parent / "golden"
GOLDEN_FILES: dict[str, Any] = {
    path.stem: orjson.loads(path.read_bytes()) for path in sorted(DIRECTORY.glob("*.json"))
}


def case_names(file: str, section: str) -> list[str]:
    return list(GOLDEN_FILES[file][section])


def case_input(file: str, section: str, case: str) -> Any:
    return GOLDEN_FILES[file][section][case]["input"]


def expect(file: str, section: str, case: str, produced: Any, ordered: bool = True) -> None:
    """Compare byte for byte; ``ordered=False`` ignores key order, for facts that are not sent."""
    option = 0 if ordered else orjson.OPT_SORT_KEYS
    expected = orjson.dumps(GOLDEN_FILES[file][section][case]["expected"], option=option)
    assert orjson.dumps(produced, option=option).decode() == expected.decode(), (section, case)


def response_facts(response: Response) -> dict[str, Any]:
    body = orjson.loads(response.body)
    assert orjson.dumps(body) == response.body
    return {"status": response.status, "body": body, "retry_after": response.retry_after_s}


class ScriptedRequester:
    """Records requests and answers them with the given responses."""

    def __init__(self, *responses: Any) -> None:
        """``responses`` are pairs of status and body; the last one answers all further requests."""
        self.responses = list(responses)
        self.requests: list[dict[str, Any]] = []

    async def request(
        self, addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
    ) -> ClientResponse:
        sent_body = orjson.loads(orjson.dumps(body))
        self.requests.append(
            {"address": addr, "method": method, "target": target, "body": sent_body}
        )
        status, response = self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
        await asyncio.sleep(0.01)
        return ClientResponse(status, orjson.dumps(response))


class RecordedHosts(dict[str, RequestHandler]):
    """Records every request that reaches an address of the network, and its response."""

    def __init__(self, simulation: Simulation) -> None:
        self.exchanges: list[dict[str, Any]] = []
        for address, handler in simulation.network.hosts.items():
            self[address] = handler
        simulation.network.hosts = self

    def __setitem__(self, address: str, handler: RequestHandler) -> None:
        async def recorded(source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
            request_body = orjson.loads(orjson.dumps(body))
            status, response = await handler(source, method, target, body)
            exchange = {"from": source, "to": address, "method": method, "target": target}
            response_body = orjson.loads(orjson.dumps(response))
            self.exchanges.append(
                {**exchange, "body": request_body, "status": status, "answer": response_body}
            )
            return status, response

        super().__setitem__(address, recorded)

    def matching(self, method: str, pattern: str) -> list[dict[str, Any]]:
        return [
            exchange
            for exchange in self.exchanges
            if exchange["method"] == method and re.fullmatch(pattern, exchange["target"])
        ]


def without_times(value: Any, key: str = "") -> Any:
    """A copy with a marker for each float whose key ends in ``_s`` or ``_s_ago``."""
    if isinstance(value, dict):
        return {name: without_times(inner, name) for name, inner in value.items()}
    if isinstance(value, list):
        return [without_times(inner, key) for inner in value]
    return "<decimal>" if isinstance(value, float) and key.endswith(("_s", "_s_ago")) else value


def without_numbers(text: str) -> str:
    """A request target or stored key with ``#`` for each number that identifies one object."""
    return re.sub(r"(wk-|host-|(?<=[/=-]))\d+(?=[/&-]|$)", r"\1#", text)


def collect_structure(value: Any, place: str, found: dict[str, set[str]]) -> None:
    """Collect by place the keys and value types of each object in order, or the type of a value.

    The values that the state service stores under ``v`` are compared by stored key elsewhere.
    """
    if isinstance(value, dict):
        names = " ".join(f"{name}:{type(inner).__name__}" for name, inner in value.items())
        found.setdefault(place, set()).add("{" + names + "}")
        for name, inner in value.items():
            if name != "v" and isinstance(inner, dict | list):
                collect_structure(inner, f"{place}.{name}", found)
    elif isinstance(value, list):
        for inner in value:
            collect_structure(inner, f"{place}[]", found)
    else:
        found.setdefault(place, set()).add(type(value).__name__)


def expect_structure(file: str, section: str, found: dict[str, set[str]]) -> None:
    """Require that all places of the golden file occur, and only structures that it lists."""
    expected: dict[str, list[str]] = GOLDEN_FILES[file][section]
    assert sorted(found) == sorted(expected)
    unexpected = {place: sorted(kinds - set(expected[place])) for place, kinds in found.items()}
    assert not {place: kinds for place, kinds in unexpected.items() if kinds}


def state_client(requester: ScriptedRequester) -> StateClient:
    return StateClient(requester.request, "state:1", TokenBucket(1e6, 1e6), TokenBucket(1e6, 1e6))
