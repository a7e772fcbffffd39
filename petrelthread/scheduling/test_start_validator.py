"""Each start that violates a rule is refused before the claim, regardless of the decision."""

from __future__ import annotations

from typing import Any

import pytest

from petrelthread.fleet import Health, Machine
from petrelthread.scheduling.start_validator import Start, Violation
from petrelthread.state import Job, encode
from tests.scheduling_cluster import EPOCH, Cluster, cluster_test
from tests.simulation import job_spec

pytestmark = pytest.mark.refused_starts_expected
A, B = "a", "b"


class Case:
    """A cluster with one machine in each of two zones and a job of four tasks."""

    def __init__(self, cluster: Cluster, **spec: Any) -> None:
        self.cluster = cluster
        self.machines = {A: cluster.add_machine(1, A), B: cluster.add_machine(2, B)}
        self.job: Job = cluster.add_job(job_spec("wk-000001", 4, cores=1.0, **spec))

    def refused(self, *starts: tuple[int, str]) -> list[tuple[int, Violation]]:
        """The violations found in starts, each given as task and zone of the machine."""
        decided = [Start(self.job, task, self.machines[zone]) for task, zone in starts]
        _, refused = self.cluster.start_validator.admit(decided)
        return [(start.task, violation) for start, violation in refused]

    def add_live_attempt(self, task: int, machine: Machine) -> None:
        number = (EPOCH - 1) << 20
        self.cluster.cluster_state.add_attempt(number, self.job, task, machine.index, 1)


@cluster_test
def test_valid_starts_are_admitted(cluster: Cluster) -> None:
    case = Case(cluster)
    assert case.refused((0, A), (1, B), (2, A), (3, B)) == []


@cluster_test
def test_starts_of_round_are_checked_together_with_live_attempts(cluster: Cluster) -> None:
    case = Case(cluster, single_zone=True)
    assert case.refused((0, A), (1, B), (2, A)) == [(1, Violation.SINGLE_ZONE)]
    case.add_live_attempt(3, case.machines[B])
    assert case.refused((0, A), (1, B)) == [(0, Violation.SINGLE_ZONE)]


@cluster_test
def test_spread_job_is_limited_to_half_its_tasks_per_zone(cluster: Cluster) -> None:
    case = Case(cluster, spread_zones=True)
    assert case.refused((0, A), (1, A), (2, A), (3, B)) == [(2, Violation.SPREAD)]
    case.add_live_attempt(3, case.machines[A])
    assert case.refused((0, A), (1, A)) == [(1, Violation.SPREAD)]


@pytest.mark.parametrize(
    ("flag", "violation"),
    [("single_zone", Violation.SINGLE_ZONE), ("spread_zones", Violation.SPREAD)],
)
@cluster_test
def test_task_in_unknown_zone_counts_in_every_zone(
    cluster: Cluster, flag: str, violation: Violation
) -> None:
    """After a failover, a machine may not be listed by the cloud yet, or may be unknown."""
    case = Case(cluster, **{flag: True})
    unlisted = cluster.fleet.get_or_add("host-000009", 0.0)
    case.add_live_attempt(0, unlisted)
    case.add_live_attempt(1, unlisted)
    assert case.refused((2, A)) == [(2, violation)]
    del cluster.fleet.machines[unlisted.index]
    assert case.refused((2, B)) == [(2, violation)]
    # The scheduler itself decides no start in this state either.
    assert cluster.zones_of_starts("wk-000001") == []


@pytest.mark.parametrize(
    ("spec", "violation"),
    [
        ({"spot_allowed": False}, Violation.SPOT),
        ({"zone": "b"}, Violation.ZONE),
        ({"machine_types": ["large"]}, Violation.MACHINE_TYPE),
    ],
)
@cluster_test
def test_start_on_machine_not_allowed_by_job_is_refused(
    cluster: Cluster, spec: dict[str, Any], violation: Violation
) -> None:
    assert Case(cluster, **spec).refused((0, A)) == [(0, violation)]


@cluster_test
def test_start_beyond_team_quota_is_refused(cluster: Cluster) -> None:
    case = Case(cluster)
    quota = int(cluster.settings.cluster.teams[0].max_cores)
    other = cluster.add_job(job_spec("wk-000002", 1, cores=quota - 2.0))
    cluster.cluster_state.add_attempt(1, other, 0, case.machines[A].index, 1)
    assert case.refused((0, A), (1, A), (2, B)) == [(2, Violation.TEAM_QUOTA)]


@cluster_test
def test_duplicate_or_outdated_start_is_refused(cluster: Cluster) -> None:
    case = Case(cluster)
    case.add_live_attempt(0, case.machines[A])
    cluster.cluster_state.mark_task_finished(case.job, 1)
    cluster.fleet.finished_tasks[case.job.index] = {2}
    assert case.refused((0, A), (1, A), (2, A), (3, A), (3, B)) == [
        (0, Violation.NOT_PENDING),
        (1, Violation.NOT_PENDING),
        (2, Violation.NOT_PENDING),
        (3, Violation.DECIDED_TWICE),
    ]
    case.machines[B].transition(Health.UNRESPONSIVE)
    assert case.refused((3, B)) == [(3, Violation.MACHINE)]
    cluster.cluster_state.set_final_status("wk-000001", "aborted")
    assert case.refused((3, A)) == [(3, Violation.JOB_ENDED)]


@cluster_test
def test_refused_start_refuses_whole_gang(cluster: Cluster) -> None:
    case = Case(cluster, kind="group", single_zone=True)
    refused = case.refused((0, A), (1, B), (2, A))
    assert refused == [
        (1, Violation.SINGLE_ZONE),
        (0, Violation.GANG),
        (2, Violation.GANG),
    ]


@cluster_test
def test_refused_start_is_logged_and_not_claimed(
    cluster: Cluster, caplog: pytest.LogCaptureFixture
) -> None:
    case = Case(cluster, single_zone=True)
    decided = [Start(case.job, 0, case.machines[A]), Start(case.job, 1, case.machines[B])]
    claim = cluster.claim_builder.build(decided, [], 0.0)
    assert [encode(record) for _, record in claim.records] == [
        [["host-000001", 1, [["wk-000001", [0]]]]]
    ]
    assert [r.levelname for r in caplog.records] == ["ERROR"]
    assert "wk-000001/1 on host-000002 left out" in caplog.text
