//! Invalid settings are reported with the name of their field, and optional ones have defaults.

use serde_json::{json, Value};
use wharfplank::proxy::config::{AddressOverrides, Config};
use wharfplank::routing::{Idempotency, Settings};

#[path = "common/config.rs"]
mod config;
use config::{valid_config, with_value};

fn parse_config(config: &Value) -> Result<Config, String> {
    Config::parse(config.to_string().as_bytes(), AddressOverrides::default())
        .map_err(|error| error.to_string())
}

fn settings(config: &Value) -> Settings {
    parse_config(config).unwrap_or_else(|message| panic!("{message}: {config}")).settings
}

/// Guards against invalid values that are silently replaced: each one stops the start with a message that
/// names its field.
#[test]
fn an_invalid_value_is_reported_with_its_field() {
    let year = 366_i64 * 86_400_000_000;
    let cases = [
        ("/settings/Classes", json!([]), "Classes"),
        ("/settings/Classes", json!("order"), "Classes"),
        ("/settings/Classes", json!([7]), "Classes"),
        ("/settings/Classes/0/Name", json!(""), "Classes.0.Name"),
        ("/settings/Classes/1/Name", json!(null), "Classes.1.Name"),
        ("/settings/Classes/1/Name", json!("look up"), "Classes.1.Name"),
        ("/settings/Classes/0/Name", json!({"de": "x"}), "Classes.0.Name"),
        ("/settings/Classes/0/TargetUs", json!(-1), "Classes.0.TargetUs"),
        ("/settings/Classes/0/TargetUs", json!("soon"), "Classes.0.TargetUs"),
        ("/settings/Classes/0/TargetUs", json!(true), "Classes.0.TargetUs"),
        ("/settings/Classes/0/TargetUs", json!([1, 2]), "Classes.0.TargetUs"),
        ("/settings/Classes/0/TargetUs", json!({}), "Classes.0.TargetUs"),
        ("/settings/Classes/1/TargetUs", json!(null), "Classes.1.TargetUs"),
        ("/settings/Classes/0/DeadlineUs", json!(-1000), "Classes.0.DeadlineUs"),
        ("/settings/Classes/0/DeadlineUs", json!(year), "Classes.0.DeadlineUs"),
        ("/settings/Classes/0/Worth", json!(-0.5), "Classes.0.Worth"),
        ("/settings/Classes/0/Worth", json!("NaN"), "Classes.0.Worth"),
        ("/settings/Classes/0/Worth", json!(1e300), "Classes.0.Worth"),
        ("/settings/Classes/0/LateValue", json!(-0.1), "Classes.0.LateValue"),
        ("/settings/Classes/0/LateValue", json!("inf"), "Classes.0.LateValue"),
        ("/settings/Classes/1/MemorySpanUs", json!(-5), "Classes.1.MemorySpanUs"),
        ("/settings/Classes/1/Repeat", json!(7), "Classes.1.Repeat"),
        ("/settings/Classes/1/Group", json!([1, 2]), "Classes.1.Group"),
        ("/settings/Specifics/Consistency", json!(["mutate"]), "Specifics.Consistency"),
        ("/settings/Specifics/Consistency", json!(["any", "mutate"]), "Specifics.Consistency"),
        ("/settings/Specifics/MaxAgeUs", json!([-1, 0]), "Specifics.MaxAgeUs"),
        ("/settings/Specifics/MaxAgeUs", json!([1]), "Specifics.MaxAgeUs"),
        ("/settings/Specifics/MaxAgeUs", json!(null), "Specifics.MaxAgeUs"),
        ("/settings/Specifics/OriginTimeUs", json!(1_i64 << 60), "Specifics.OriginTimeUs"),
        ("/settings/Allowed", json!(5), "Allowed"),
        ("/settings/Allowed/MaxAttempts", json!(0), "Allowed.MaxAttempts"),
        ("/settings/Allowed/MaxAttempts", json!(-3), "Allowed.MaxAttempts"),
        ("/settings/Allowed/MayProbe", json!("perhaps"), "Allowed.MayProbe"),
        ("/settings/Allowed/ConnectTimeoutUs", json!(-1), "Allowed.ConnectTimeoutUs"),
        ("/settings/Allowed/KeepaliveUs", json!(-1), "Allowed.KeepaliveUs"),
        ("/settings/Allowed/MaxRetryAfterUs", json!(-1), "Allowed.MaxRetryAfterUs"),
        ("/settings/Balancers", json!(0), "Balancers"),
        ("/settings/Balancers", json!(1.5), "Balancers"),
        ("/settings/Rules", json!("strict"), "Rules"),
        ("/settings/Rules/ColdFrom", json!(1.01), "Rules.ColdFrom"),
        ("/settings/Rules/ColdFrom", json!(-0.2), "Rules.ColdFrom"),
        ("/settings/Rules/ColdUs", json!(-1), "Rules.ColdUs"),
        ("/settings/Rules/FallMultiple", json!(-3.0), "Rules.FallMultiple"),
        ("/settings/Rules/OverloadForUs", json!(-1), "Rules.OverloadForUs"),
        ("/settings/Rules/StopSendingWithinUs", json!(-1), "Rules.StopSendingWithinUs"),
        ("/settings/Rules/AskEveryUs", json!(-1), "Rules.AskEveryUs"),
        ("/settings/Discovery", json!(3), "Discovery"),
        ("/limits", json!([1024]), "limits"),
        ("/limits/sockets", json!("1024"), "sockets"),
        ("/limits/sockets", json!(0), "sockets"),
        ("/limits/sockets", json!(-1), "sockets"),
        ("/limits/memory_mb", json!("192"), "memory_mb"),
        ("/limits/memory_mb", json!(0), "memory_mb"),
        ("/limits/memory_mb", json!(-192.0), "memory_mb"),
        ("/seed", json!("no hex"), "seed"),
        ("/listen", json!(5433), "listen"),
        ("/mgmt", json!(5433), "mgmt"),
        ("/discovery", json!(null), "discovery"),
        ("/known", json!("none"), "known"),
        ("/settings", json!(null), "settings"),
    ];
    let mut unreported = Vec::new();
    for (pointer, value, field) in cases {
        let message = parse_config(&with_value(&valid_config(), pointer, value.clone())).err();
        let is_named = message
            .as_deref()
            .is_some_and(|text| text.split([' ', ':']).any(|word| word == field) && !text.contains('\n'));
        if !is_named {
            unreported.push(format!("{pointer} = {value}: {message:?}"));
        }
    }
    assert!(unreported.is_empty(), "not reported:\n{}", unreported.join("\n"));
}

/// Guards against a start that fails because the platform leaves out an optional field, sets it to null or a
/// span to 0, or adds unknown fields.
#[test]
fn optional_fields_have_defaults() {
    let optional_fields = [
        "/seed",
        "/limits",
        "/limits/sockets",
        "/limits/memory_mb",
        "/known",
        "/mgmt",
        "/settings/Allowed",
        "/settings/Allowed/MaxAttempts",
        "/settings/Allowed/MayProbe",
        "/settings/Allowed/MayCancel",
        "/settings/Allowed/ConnectTimeoutUs",
        "/settings/Allowed/KeepaliveUs",
        "/settings/Az",
        "/settings/Balancers",
        "/settings/Classes/0/DeadlineUs",
        "/settings/Classes/0/Group",
        "/settings/Classes/0/LateValue",
        "/settings/Classes/0/MemorySpanUs",
        "/settings/Classes/0/Repeat",
        "/settings/Classes/0/TargetUs",
        "/settings/Classes/0/Worth",
        "/settings/Discovery",
        "/settings/Report",
        "/settings/Rules",
        "/settings/Specifics",
        "/settings/Tenants",
    ];
    for pointer in optional_fields {
        settings(&with_value(&valid_config(), pointer, Value::Null));
    }
    let spans = [
        "/settings/Classes/0/TargetUs",
        "/settings/Classes/0/DeadlineUs",
        "/settings/Classes/1/MemorySpanUs",
        "/settings/Rules/ColdUs",
        "/settings/Rules/OverloadForUs",
        "/settings/Rules/StopSendingWithinUs",
        "/settings/Rules/AskEveryUs",
        "/settings/Rules/ColdFrom",
        "/settings/Allowed/MaxRetryAfterUs",
    ];
    for pointer in spans {
        settings(&with_value(&valid_config(), pointer, json!(0)));
    }
    for pointer in
        ["/settings/Novel", "/settings/Rules/Novel", "/settings/Classes/0/Novel", "/novel", "/limits/novel"]
    {
        for value in [json!(-1), json!({"a": [{"b": null}, 7]}), json!(null), json!("x"), json!([])] {
            settings(&with_value(&valid_config(), pointer, value));
        }
    }
    let nulls = with_value(&valid_config(), "/settings/Specifics/MaxAgeUs", json!([200_000, null]));
    assert_eq!(settings(&nulls).classes.len(), 2);
}

/// An unknown repeat rule or group counts as the strictest one: the write must not run twice.
#[test]
fn an_unknown_repeat_rule_must_not_run_twice() {
    for (pointer, word) in [("/settings/Classes/1/Repeat", "merge"), ("/settings/Classes/1/Group", "zone")] {
        assert_eq!(
            settings(&with_value(&valid_config(), pointer, json!(word))).classes[1].idempotency,
            Idempotency::NotIdempotent,
            "{word}"
        );
    }
    let keyed = Idempotency::Keyed { window: 1_200_000, all_groups: false };
    assert_eq!(settings(&valid_config()).classes[1].idempotency, keyed);
    let everywhere_settings =
        settings(&with_value(&valid_config(), "/settings/Classes/1/Group", json!("all")));
    assert_eq!(
        everywhere_settings.classes[1].idempotency,
        Idempotency::Keyed { window: 1_200_000, all_groups: true }
    );
}
