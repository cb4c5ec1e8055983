"""Names of the rows that instances keep in the platform's table."""

from tanagerloft.tables import table as table_lib

CONFIGURATION = "configuration"
INSTANCE = "instance"
INTENT = "intent"
LIMIT = "limit"
MODEL = "model"
TARGET = "target"
_HEAD = "head"


def configuration_head() -> table_lib.RowKey:
    """Row that holds the number of the version in force."""
    return table_lib.RowKey(CONFIGURATION, _HEAD)


def configuration_version(version: int) -> table_lib.RowKey:
    """Row that holds the contents of one version."""
    return table_lib.RowKey(CONFIGURATION, f"version-{version:012d}")


def instance(instance_id: str) -> table_lib.RowKey:
    """Row in which an instance tells what it has in force."""
    return table_lib.RowKey(INSTANCE, instance_id)


def intent(account: str, idempotency_key: str) -> table_lib.RowKey:
    """Row that records one non-idempotent request."""
    return table_lib.RowKey(INTENT, f"{account}/{idempotency_key}")


def limit(account: str) -> table_lib.RowKey:
    """Row that records who holds the shares of an account's limit."""
    return table_lib.RowKey(LIMIT, account)


def model(name: str) -> table_lib.RowKey:
    """Row that records the replicas decided for a model or adapter."""
    return table_lib.RowKey(MODEL, name)


def target(name: str) -> table_lib.RowKey:
    """Row that records the memory reserved on a target."""
    return table_lib.RowKey(TARGET, name)
