"""Transitions between the states of an operation."""

from __future__ import annotations

import pytest

from petrelthread.state import Attempt, IllegalTransitionError, OperationState, transition
from petrelthread.state.conftest import ClusterStateMaker


def test_operations_make_only_defined_transitions(cluster_state_with: ClusterStateMaker) -> None:
    job = cluster_state_with({"wk-000001": 1}).jobs_by_id["wk-000001"]
    attempt = Attempt(1, job, 0, 0, 1, OperationState.AUTHORIZED)
    for state in (
        OperationState.DISPATCHING,
        OperationState.UNKNOWN,
        OperationState.CONFIRMED,
        OperationState.UNKNOWN,
        OperationState.SUPERSEDED,
    ):
        transition(attempt, state)
        assert attempt.state is state
    for state in (OperationState.CONFIRMED, OperationState.UNKNOWN, OperationState.DISPATCHING):
        with pytest.raises(IllegalTransitionError):
            transition(attempt, state)
