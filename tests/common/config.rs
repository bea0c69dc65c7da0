//! Configurations for tests of the configuration parser.
#![allow(dead_code)]

use serde_json::{json, Value};

/// Returns a valid configuration: a read and a write class with every documented field.
pub fn valid_config() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"seq": 1, "whole": true, "hosts": []},
        "settings": {"Az": "a", "Balancers": 3, "Discovery": "push", "Tenants": [], "Zones": ["a", "b"],
            "Allowed": {"ConnectTimeoutUs": 250_000, "KeepaliveUs": 15_000_000, "MaxAttempts": 4,
                "MaxRetryAfterUs": 2_000_000, "MayCancel": true, "MayProbe": true, "RetryAfter": true},
            "Classes": [
                {"Name": "look up", "DeadlineUs": 1_000_000, "TargetUs": 300_000, "Repeat": "retryable",
                    "Group": "all", "MemorySpanUs": 5_000_000, "LateValue": 0.2, "Worth": 1.0},
                {"Name": "buch/ung", "TargetUs": 700_000, "Repeat": "dedup",
                    "Group": "cell", "MemorySpanUs": 1_200_000, "LateValue": 0.25, "Worth": 4.0}],
            "Report": {"Columns": ["x0", "x1"], "Via": "probe"},
            "Rules": {"AskEveryUs": 10_000_000, "ColdFrom": 0.24, "ColdUs": 15_000_000, "FallMultiple": 3.0,
                "OverloadForUs": 1_500_000, "StopSendingWithinUs": 1_000_000},
            "Specifics": {"Consistency": ["lag_bound", "mutate"], "MaxAgeUs": [200_000, 0],
                "OriginTimeUs": 162_433_855_777_i64, "SessionMarks": "brought", "WhenBehind": "none"}}})
}

/// Returns a copy of the configuration with the value at the JSON pointer, whose last field may be new.
pub fn with_value(config: &Value, pointer: &str, value: Value) -> Value {
    let mut config = config.clone();
    let (parent, name) = pointer.rsplit_once('/').expect("a JSON pointer");
    match config.pointer_mut(parent).expect("the parent object exists") {
        Value::Object(fields) => drop(fields.insert(name.to_string(), value)),
        other => panic!("{parent} is {other}"),
    }
    config
}
