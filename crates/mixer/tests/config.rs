//! Parsing of a mixer's configuration file.

use cottonhill_mixer::config::{Config, ConfigError};
use serde_json::{json, Value};

/// Settings with one class of this name.
fn settings_json(class: &str) -> Value {
    json!({
        "classes": [{"name": class, "aim_ns": 2, "give_up_ns": 6, "semantics": "read_like"}],
        "extra": {"places": 1, "reach": 1, "ranges": 2, "class_need": [1.0], "least_share": [0.6],
            "partial_earns": [0.9], "second_step": [0]},
        "replicas_of_me": 1, "tick_ns": 5, "localities": ["n", "s"],
    })
}

fn parse_with_settings(settings: &Value) -> Result<Config, ConfigError> {
    let file = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964", "settings": settings});
    Config::parse(&file.to_string())
}

#[test]
fn json_settings_match_wire_settings() {
    let settings = settings_json("a b");
    let config = parse_with_settings(&settings).unwrap();
    assert_eq!(
        (
            config.mixer_settings.zones.len(),
            config.mixer_settings.classes[0].as_str()
        ),
        (2, "a_b")
    );
    assert_eq!(
        (config.settings.classes[0].minimum_coverage, config.seed),
        (0.6, 0x8c1f_30d2_7a5b_e964)
    );
    let mut invalid = settings.clone();
    invalid["tick_ns"] = 0.into();
    assert!(parse_with_settings(&invalid)
        .unwrap_err()
        .to_string()
        .contains("tick_ns"));
    invalid["extra"]["second_step"][0] = 3.into();
    assert!(parse_with_settings(&invalid).is_err());
}

/// The memory limit that a configuration file with these limits sets.
fn configured_memory_limit(limits: &Value) -> Option<usize> {
    let file = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "seed": "8c1f", "limits": limits, "settings": settings_json("a")});
    Config::parse(&file.to_string()).unwrap().memory_limit
}

#[test]
fn reads_memory_limit_from_configuration() {
    assert_eq!(
        configured_memory_limit(&json!({"sockets": 9, "memory_mb": 128})),
        Some(128_000_000)
    );
    assert_eq!(
        configured_memory_limit(&json!({"sockets": 9, "memory_mb": 48.5})),
        Some(48_500_000)
    );
    for without_number in [
        json!({"sockets": 9}),
        json!({"sockets": 9, "memory_mb": "all"}),
        Value::Null,
    ] {
        assert_eq!(
            configured_memory_limit(&without_number),
            None,
            "{without_number}"
        );
    }
}
