//! Settings of mixers in the wire format.

/// Settings of a typical deployment: class 0 accepts partial answers, class 1 requires every part.
pub const SETTINGS: &str = "classes.count=2\nclasses.0.name=report\nclasses.0.aim_ns=2000000000\n\
classes.0.give_up_ns=5000000000\nclasses.0.semantics=read_like\nclasses.1.name=lookup\n\
classes.1.aim_ns=2000000000\nclasses.1.give_up_ns=6000000000\nclasses.1.semantics=read_like\n\
extra.places=1\nextra.reach=1\nextra.ranges=8\nextra.class_need=1.0,1.0\nextra.least_share=0.6,1.0\n\
extra.partial_earns=0.9,0.9\nextra.second_step=0,0\nreplicas_of_me=1\ntick_ns=5000000\n\
limits.cancelling=true\nlimits.may_duplicate=true\nlimits.max_attempts=4\nlimits.streams_per_conn=4\n\
limits.connect_timeout_ns=250000000\nlimits.conn_idle_ns=30000000000\nlimits.open_cap=60\n\
limits.max_retry_after_ns=500000000\nlocalities=north,south\nguarantees.stop_sending_within_ns=250000000\n";

/// The settings of four deployments: [`SETTINGS`]; polled discovery without cancellation; short deadlines; many shards
/// and a non-idempotent class.
pub fn deployments() -> [String; 4] {
    let polling = SETTINGS
        .replace("limits.cancelling=true", "limits.cancelling=false")
        .replace("limits.max_attempts=4", "limits.max_attempts=3")
        .replace("lookup", "history")
        + "discovery=on_request\nguarantees.ask_within_ns=10000000000\n";
    let short_deadlines = SETTINGS
        .replace("_ns=2000000000", "_ns=200000000")
        .replace("_ns=5000000000", "_ns=500000000")
        .replace("_ns=6000000000", "_ns=600000000")
        .replace("_ns=250000000", "_ns=80000000");
    let non_idempotent = non_idempotent_settings()
        .replace("extra.ranges=8", "extra.ranges=512")
        .replace("name=report", "name=ranking");
    [
        SETTINGS.to_string(),
        polling,
        short_deadlines,
        non_idempotent,
    ]
}

/// [`SETTINGS`] with class 1 as non-idempotent: its parts must not be executed twice.
pub fn non_idempotent_settings() -> String {
    SETTINGS.replace(
        "classes.1.semantics=read_like",
        "classes.1.semantics=non_idempotent",
    )
}
