"""Decoding and encoding of stored values, and the effects of their keys."""

from __future__ import annotations

from collections.abc import Callable

import orjson
import pytest

from petrelthread.state import ClusterState, InternedNames, encode
from petrelthread.state.stored_records import (
    StoredValue,
    decode_finished_tasks,
    decode_job,
    decode_leader,
    decode_machine_names,
    decode_round,
    decode_scale_out,
)

JOB = [
    *("red", "batch", 1, 4, 2.0, 0.0, 2.0, "img-1", 1.0, ["small"], "b", 7),
    *(5.0, 2.0, 1.0, 90.0, 1_700_000_002.25),
]
ROUND = [["host-1", 1, [["wk-1", [0, 1]], ["wk-2", [2]]]], ["", 0, [["wk-3", [1]]]]]


@pytest.mark.parametrize(
    ("decode", "value"),
    [
        pytest.param(decode_job, JOB, id="job"),
        pytest.param(decode_round, ROUND, id="round"),
        pytest.param(decode_finished_tasks, [["wk-1", [0, 1, 3, 3]]], id="finished tasks"),
        pytest.param(
            decode_leader, {"node": "n1", "nonce": "n1-7", "epoch": 3, "lease": 9}, id="leader"
        ),
        pytest.param(decode_machine_names, ["host-1", "host-2"], id="machine names"),
        pytest.param(
            decode_scale_out,
            {"t": "small", "z": "a", "s": True, "n": 1, "at": 1.5, "m": ["host-1"]},
            id="scale-out",
        ),
        pytest.param(
            decode_scale_out,
            {"t": "small", "z": "a", "s": True, "n": 1, "at": 1.5},
            id="scale-out without machines",
        ),
    ],
)
def test_a_decoded_value_is_encoded_to_the_same_value(
    decode: Callable[[StoredValue], object], value: StoredValue
) -> None:
    assert orjson.dumps(encode(decode(value))) == orjson.dumps(value)


def test_the_stop_marker_distinguishes_stops_from_starts() -> None:
    assert [entry.is_stop for entry in decode_round(ROUND)] == [False, True]


def test_options_have_the_revision_of_their_key_until_it_is_deleted() -> None:
    cluster_state = ClusterState(InternedNames())
    assert (cluster_state.options.values, cluster_state.options.revision) == ({}, 0)
    cluster_state.on_key("options", {"idle_s": 7.0}, 12)
    assert (cluster_state.options.values, cluster_state.options.revision) == ({"idle_s": 7.0}, 12)
    cluster_state.on_key("options", None, 13)
    assert (cluster_state.options.values, cluster_state.options.revision) == ({}, 0)


@pytest.mark.parametrize(
    ("key", "value", "attribute"),
    [
        ("s/wk-1", ["host-1"], "machines_by_suspect_job"),
        ("c/1-1", {"t": "small", "z": "a", "s": True, "n": 1, "at": 1.5}, "scale_out_records"),
        ("x/1-2", ["host-1"], "scale_in_records"),
        ("d/7", [], "open_jobs_by_finished_task_record"),
        ("r/8", [], "attempts_by_round"),
    ],
)
def test_a_deleted_key_removes_its_record(key: str, value: object, attribute: str) -> None:
    cluster_state = ClusterState(InternedNames())
    cluster_state.on_key(key, value, 1)
    assert len(getattr(cluster_state, attribute)) == 1
    cluster_state.on_key(key, None, 2)
    assert not getattr(cluster_state, attribute)


def test_keys_of_other_kinds_are_ignored() -> None:
    cluster_state = ClusterState(InternedNames())
    cluster_state.on_key("lead", {"node": "n1"}, 1)
    cluster_state.on_key("added/later", {}, 2)
    assert not cluster_state.jobs
