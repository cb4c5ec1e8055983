"""Settings of an instance on the users' platform."""

from tanagerloft.config import settings

TABLE = (
    settings.Setting("instance", "id", settings.REQUIRED, "str", "Name"),
    settings.Setting(
        "instance", "data_centre", settings.REQUIRED, "str", "Where it runs"
    ),
    settings.Setting(
        "instance", "cores", 1.0, "decimal", "Cores that it runs as fast as"
    ),
    settings.Setting(
        "instance", "core_share", 1.0, "decimal", "Share of these that it has"
    ),
    settings.Setting(
        "instance", "link_mbps", 1_000.0, "decimal", "Speed of its link"
    ),
    settings.Setting(
        "listen", "callers", settings.REQUIRED, "address", "Callers' HTTP"
    ),
    settings.Setting(
        "listen", "ready", settings.REQUIRED, "address", "Readiness"
    ),
    settings.Setting(
        "listen", "peers", settings.REQUIRED, "address", "Other instances"
    ),
    settings.Setting(
        "listen", "metrics", settings.REQUIRED, "address", "Metrics"
    ),
    settings.Setting(
        "store", "address", settings.REQUIRED, "address", "Platform's store"
    ),
    settings.Setting(
        "store",
        "apply_ms",
        2_000,
        "int",
        "Time in which a change of configuration must be in force",
    ),
    settings.Setting(
        "store",
        "drain_ms",
        2_000,
        "int",
        "Time after which a leaving target gets no more requests",
    ),
    settings.Setting(
        "stop", "grace_s", 8.0, "decimal", "Time from SIGTERM to SIGKILL"
    ),
    settings.Setting(
        "keys",
        "withdraw_ms",
        5_000,
        "int",
        "Time within which a withdrawn key must stop working",
    ),
    settings.Setting(
        "retries", "ratio", 0.2, "decimal", "Repeats for each request"
    ),
    settings.Setting(
        "retries", "slack", 50.0, "decimal", "Repeats besides, for the fleet"
    ),
    settings.Setting(
        "retries", "window_s", 10.0, "decimal", "Window of the two above"
    ),
    settings.Setting(
        "orders",
        "turn_ms",
        3_000,
        "int",
        "Time between orders of two holders of the lease",
    ),
    settings.Setting(
        "orders",
        "lease_valid_ms",
        1_500,
        "int",
        "Time for which one renewal lets the holder give orders",
    ),
    settings.Setting(
        "orders",
        "first_start",
        0,
        "int",
        "1 if the whole system starts for the first time, so that no instance"
        " can have held the lease",
    ),
    settings.Setting(
        "limits",
        "tolerated_tokens",
        0.0,
        "decimal",
        "Tokens by which an account may exceed its limit",
    ),
    settings.Setting(
        "limits",
        "tolerated_share",
        0.0,
        "decimal",
        "Share of its limit by which an account may exceed it besides",
    ),
    settings.Setting("log", "level", "INFO", "str", "Level of the log"),
    settings.Setting(
        "log",
        "lines_per_s",
        200,
        "int",
        "Lines of one kind a second; more are counted and dropped",
    ),
)
