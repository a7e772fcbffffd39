"""Fixtures of byte formats in ``tests/golden``, and what records traffic to compare with them.

A fixture file holds sections of cases, each with its input and what the code makes of it. Names of
classes, functions and attributes of the code do not occur in them.
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
FIXTURES: dict[str, Any] = {
    path.stem: orjson.loads(path.read_bytes()) for path in sorted(DIRECTORY.glob("*.json"))
}


def cases(file: str, section: str) -> list[str]:
    return list(FIXTURES[file][section])


def given(file: str, section: str, case: str) -> Any:
    return FIXTURES[file][section][case]["input"]


def expect(file: str, section: str, case: str, produced: Any, ordered: bool = True) -> None:
    """Byte for byte. Not ``ordered``: facts read from a message, whose order nobody sends."""
    option = 0 if ordered else orjson.OPT_SORT_KEYS
    expected = orjson.dumps(FIXTURES[file][section][case]["expected"], option=option)
    assert orjson.dumps(produced, option=option).decode() == expected.decode(), (section, case)


def response_facts(response: Response) -> dict[str, Any]:
    body = orjson.loads(response.body)
    assert orjson.dumps(body) == response.body
    return {"status": response.status, "body": body, "retry_after": response.retry_after_s}


class Requester:
    """Records what is asked and answers with what a fixture says."""

    def __init__(self, *replies: Any) -> None:
        """``replies``: status and body each; the last one is for all further requests."""
        self.replies = list(replies)
        self.asked: list[dict[str, Any]] = []

    async def request(
        self, addr: str, method: str, target: str, body: Any = None, timeout: float = 2.0
    ) -> ClientResponse:
        sent = orjson.loads(orjson.dumps(body))
        self.asked.append({"address": addr, "method": method, "target": target, "body": sent})
        status, answer = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        await asyncio.sleep(0.01)
        return ClientResponse(status, orjson.dumps(answer))


class RecordedHosts(dict[str, RequestHandler]):
    """Records every request that reaches an address of the network, and its answer."""

    def __init__(self, simulation: Simulation) -> None:
        self.exchanges: list[dict[str, Any]] = []
        for address, handler in simulation.net.hosts.items():
            self[address] = handler
        simulation.net.hosts = self

    def __setitem__(self, address: str, handler: RequestHandler) -> None:
        async def recorded(source: str, method: str, target: str, body: Any) -> tuple[int, Any]:
            asked = orjson.loads(orjson.dumps(body))
            status, answer = await handler(source, method, target, body)
            exchange = {"from": source, "to": address, "method": method, "target": target}
            said = orjson.loads(orjson.dumps(answer))
            self.exchanges.append({**exchange, "body": asked, "status": status, "answer": said})
            return status, answer

        super().__setitem__(address, recorded)

    def matching(self, method: str, pattern: str) -> list[dict[str, Any]]:
        return [
            exchange
            for exchange in self.exchanges
            if exchange["method"] == method and re.fullmatch(pattern, exchange["target"])
        ]


def without_times(value: Any, key: str = "") -> Any:
    """The same with a marker in place of each decimal number whose name ends in ``_s[_ago]``."""
    if isinstance(value, dict):
        return {name: without_times(inner, name) for name, inner in value.items()}
    if isinstance(value, list):
        return [without_times(inner, key) for inner in value]
    return "<decimal>" if isinstance(value, float) and key.endswith(("_s", "_s_ago")) else value


def template(text: str) -> str:
    """A target or key without the numbers that tell one from the next."""
    return re.sub(r"(wk-|host-|(?<=[/=-]))\d+(?=[/&-]|$)", r"\1#", text)


def structure(value: Any, at: str, found: dict[str, set[str]]) -> None:
    """Notes by place: the names of each object in order with their types, or the type of a value.

    What the state service keeps under ``v`` is told apart by key elsewhere.
    """
    if isinstance(value, dict):
        names = " ".join(f"{name}:{type(inner).__name__}" for name, inner in value.items())
        found.setdefault(at, set()).add("{" + names + "}")
        for name, inner in value.items():
            if name != "v" and isinstance(inner, dict | list):
                structure(inner, f"{at}.{name}", found)
    elif isinstance(value, list):
        for inner in value:
            structure(inner, f"{at}[]", found)
    else:
        found.setdefault(at, set()).add(type(value).__name__)


def expect_structure(file: str, section: str, found: dict[str, set[str]]) -> None:
    """Every place that is on file occurs, and nothing occurs that is not on file."""
    on_file: dict[str, list[str]] = FIXTURES[file][section]
    assert sorted(found) == sorted(on_file)
    beyond = {at: sorted(kinds - set(on_file[at])) for at, kinds in found.items()}
    assert not {at: kinds for at, kinds in beyond.items() if kinds}


def state_client(requester: Requester) -> StateClient:
    return StateClient(requester.request, "state:1", TokenBucket(1e6, 1e6), TokenBucket(1e6, 1e6))
