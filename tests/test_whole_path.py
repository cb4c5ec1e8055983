"""The whole path through eight entry instances, each component a process."""

from concurrent import futures

import pytest

from tests.support import fleet as fleet_lib


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with fleet_lib.Fleet(tmp_path_factory.mktemp("fleet")) as running:
        yield running


def test_a_burst_at_all_instances_causes_one_load(fleet):
    with futures.ThreadPoolExecutor(16) as executor:
        responses = list(
            executor.map(
                lambda name: fleet.complete(name, "model-0"),
                fleet.instance_names() * 2,
            )
        )
    assert [response.status for response in responses] == [200] * 16
    assert all(response.is_complete for response in responses)
    counts = [fleet.get(name, "/counts") for name in ("engine-1", "engine-2")]
    assert sum(count["loads"].get("model-0", 0) for count in counts) == 1
    assert all(count["violations"] == [] for count in counts)


def test_an_adapter_is_loaded_with_its_model(fleet):
    response = fleet.complete("instance-3", "adapter-0", stream=False)
    assert response.is_complete
    counts = [fleet.get(name, "/counts") for name in ("engine-1", "engine-2")]
    engines = [c for c in counts if "adapter-0" in c["items"]]
    assert len(engines) == 1
    assert engines[0]["items"]["model-0"] == "ready"


def test_a_retry_at_another_instance_gets_the_first_outcome(fleet):
    first = fleet.pay("instance-1", "pay-1")
    second = fleet.pay("instance-2", "pay-1")
    assert first.status == second.status == 200
    assert first.body == second.body
    assert second.headers["idempotent-replayed"] == "true"
    assert fleet.get("service-1", "/counts")["pay-1"] == 1


def test_keys_reach_no_target_and_no_log(fleet):
    fleet.complete("instance-1", "model-1")
    for name in ("engine-1", "engine-2"):
        assert fleet.get(name, "/counts")["requests_with_key"] == 0
    for name in fleet.instance_names():
        assert fleet_lib.KEYS["quito"] not in fleet.log(name)
        metrics = fleet.request(name, "GET", "/metrics").body
        assert fleet_lib.KEYS["quito"].encode() not in metrics
