"""What a reload of all keys may change in the watch cache."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
import pytest

from petrelthread.http import ClientResponse
from petrelthread.store import StateClient, StateResultUnknownError, TokenBucket, WatchCache
from tests.virtual_time import run_in_virtual_time


def test_a_reload_does_not_undo_changes_that_a_concurrent_watch_showed() -> None:
    """A reload may read pages that are older than the watch.

    A round record that only the watch had shown looked deleted, so its starts counted as resolved.
    """
    changes: list[tuple[str, Any]] = []

    async def request(
        addr: str, method: str, target: str, body: Any, timeout: float
    ) -> ClientResponse:
        query = parse_qs(urlsplit(target).query)
        if target.startswith("/keys"):
            await asyncio.sleep(1.0)  # the page holds the state at the time of the request
            pairs = [{"path": "pt/f/wk-1", "v": "old", "stamp": 3}]
            return ClientResponse(200, orjson.dumps({"pairs": pairs, "more": False, "epoch": 5}))
        assert query["from"] == ["4"]
        log = [
            {"put": "pt/r/9", "v": [], "stamp": 7},
            {"put": "pt/f/wk-1", "v": "done", "stamp": 8},
        ]
        return ClientResponse(200, orjson.dumps({"epoch": 8, "log": log}))

    async def main() -> None:
        client = StateClient(
            request, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0)
        )
        watch_cache = WatchCache(
            client, lambda key, value, stamp: changes.append((key, value)), 0.1
        )
        watch_cache.loaded.set()
        watch_cache.revision, watch_cache.revisions = 4, {"c/1-1": 2}
        began = asyncio.get_running_loop().time()
        reload = asyncio.ensure_future(watch_cache.load())
        await asyncio.sleep(0.2)
        assert await watch_cache.refresh()
        await reload
        assert changes == [("r/9", []), ("f/wk-1", "done"), ("c/1-1", None)]
        assert watch_cache.revision == 8
        assert began + 0.1 < watch_cache.current_as_of < began + 0.5  # not when the pages arrive

    run_in_virtual_time(main())


@pytest.mark.parametrize("fault", ["empty page", "same page again"])
def test_an_incomplete_reload_raises_and_changes_nothing(fault: str) -> None:
    """An incomplete set of keys, applied as complete, would delete the missing keys."""
    changed_keys: list[str] = []

    async def request(
        addr: str, method: str, target: str, body: Any, timeout: float
    ) -> ClientResponse:
        query = parse_qs(urlsplit(target).query)
        pairs: list[Any] = [{"path": f"pt/j/wk-{n}", "v": [], "stamp": n} for n in (1, 2)]
        if "from" in query and fault == "empty page":
            pairs = []
        return ClientResponse(200, orjson.dumps({"pairs": pairs, "more": True, "epoch": 9}))

    async def main() -> None:
        client = StateClient(
            request, "state:1", TokenBucket(100.0, 100.0), TokenBucket(100.0, 100.0)
        )
        watch_cache = WatchCache(client, lambda key, value, stamp: changed_keys.append(key), 0.1)
        with pytest.raises(StateResultUnknownError, match="goes no further"):
            await watch_cache.load()
        assert not changed_keys
        assert not watch_cache.loaded.is_set()

    run_in_virtual_time(main())
