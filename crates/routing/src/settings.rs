//! The one translation of an operator's settings into the module's, for the proxy and for the adapter.

mod fields;

use super::api::{Class, Consistency, Idempotency, Micros, Settings, StaleReadPolicy};
pub use fields::{FieldError, Fields, LONGEST_SPAN};

/// What the settings say beside the module's own part of them.
#[derive(Clone, Debug)]
pub struct ProxyParameters {
    /// The classes' names, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// The router's own zone.
    pub zone: String,
    /// The names of the values in a load report.
    pub report_columns: Vec<String>,
    /// The time from which the simulator counts positions.
    pub position_origin: Micros,
    /// A connection that is not up after this span never comes up.
    pub connect_timeout: Micros,
    /// A member closes a connection that stood idle for this span.
    pub keepalive: Micros,
    /// Sends to a member must end this long after the router was told that it drains or is gone.
    pub drain_within: Micros,
    /// The longest deadline of any class; 0 where none is named.
    pub longest_deadline: Micros,
    /// Where discovery must be asked: the time that may pass between calls.
    pub poll_interval: Option<Micros>,
}

/// The most that a class may be worth, and that members may be sent beyond their capacity.
const MOST: f64 = 1e9;

/// Translates settings as the simulator's first message holds them. What is absent (or null, or empty) has
/// its default,
/// and names that are not known are let pass; what is there and cannot be meant is a fault that names its
/// field.
pub fn translate(f: &Fields<'_>) -> Result<(Settings, ProxyParameters), FieldError> {
    for section in ["Allowed", "Classes", "Report", "Rules", "Specifics"] {
        f.section(section)?;
    }
    let (classes, class_names, longest_deadline) = classes(f)?;
    let columns = f.parts("Report.Columns")?.into_iter().filter(|c| !c.is_empty()).map(str::to_string);
    let retry_after = f.flag("Allowed.RetryAfter")?;
    let max_retry_after = f.span("Allowed.MaxRetryAfterUs")?.unwrap_or(0);
    let settings = Settings {
        seed: f.or("RngSeed", 0)?,
        routers: at_least_one(f, "Balancers")?.unwrap_or(1),
        classes,
        max_attempts: at_least_one(f, "Allowed.MaxAttempts")?.unwrap_or(u32::MAX),
        may_cancel: f.flag("Allowed.MayCancel")?,
        may_probe: f.flag("Allowed.MayProbe")?,
        must_subscribe: f.word("Discovery")? == "ask",
        max_retry_after: if retry_after { max_retry_after } else { 0 },
        slow_start_from: f.amount("Rules.ColdFrom", 1.0)?.unwrap_or(1.0),
        slow_start_span: f.span("Rules.ColdUs")?.unwrap_or(0),
        overload_multiple: f.amount("Rules.FallMultiple", MOST)?.unwrap_or(1.0),
        overload_span: f.span("Rules.OverloadForUs")?.unwrap_or(0),
        stale_reads: match f.word("Specifics.WhenBehind")? {
            "bounce" | "await" => StaleReadPolicy::Reject,
            _ => StaleReadPolicy::Serve,
        },
        removal_is_advisory: f.flag("Rules.GoneIsAdvice")?,
        sessions_carry_tokens: f.word("Specifics.SessionMarks")? == "brought",
    };
    let position_origin: Micros = f.or("Specifics.OriginTimeUs", 0)?;
    if position_origin.unsigned_abs() > 1 << 53 {
        return Err(FieldError::new("Specifics.OriginTimeUs", &format!("is no time: {position_origin}")));
    }
    let terms = ProxyParameters {
        class_names,
        zone: f.plain("Az")?.to_string(),
        report_columns: columns.collect(),
        position_origin,
        connect_timeout: f.span("Allowed.ConnectTimeoutUs")?.unwrap_or(250_000),
        keepalive: f.span("Allowed.KeepaliveUs")?.unwrap_or(15_000_000),
        drain_within: f.span("Rules.StopSendingWithinUs")?.unwrap_or(1_000_000),
        longest_deadline,
        poll_interval: f.span("Rules.AskEveryUs")?.filter(|span| *span > 0),
    };
    Ok((settings, terms))
}

fn at_least_one(f: &Fields<'_>, name: &str) -> Result<Option<u32>, FieldError> {
    match f.get::<u32>(name)? {
        Some(0) => Err(FieldError::new(name, "is 0: there is one at least")),
        other => Ok(other),
    }
}

/// The classes, their names and the longest of their deadlines.
fn classes(f: &Fields<'_>) -> Result<(Vec<Class>, Vec<String>, Micros), FieldError> {
    let count: usize = f.or("Classes.count", 0)?;
    let needs = f.parts("Specifics.Consistency")?;
    let bounds = f.spans("Specifics.MaxAgeUs")?;
    for (name, given) in [("Specifics.Consistency", needs.len()), ("Specifics.MaxAgeUs", bounds.len())] {
        if count != 0 && given != 0 && given != count {
            return Err(FieldError::new(name, &format!("names {given} classes of {count}")));
        }
    }
    let (mut classes, mut names, mut longest) = (Vec::new(), Vec::new(), 0);
    for i in 0..count {
        let at = |key: &str| format!("Classes.{i}.{key}");
        let consistency = match needs.get(i).copied().unwrap_or_default() {
            "" | "eventual" => Consistency::Any,
            "lag_bound" => Consistency::BoundedStaleness(
                bounds.get(i).copied().ok_or_else(|| FieldError::new("Specifics.MaxAgeUs", "is missing"))?,
            ),
            "causal" => Consistency::Session,
            "strong" => Consistency::Strong,
            "mutate" => Consistency::Write,
            other => return Err(FieldError::new("Specifics.Consistency", &format!("'{other}' is unknown"))),
        };
        let deadline = f.span(&at("DeadlineUs"))?;
        let aim = f.span(&at("TargetUs"))?.or(deadline);
        let name = f.plain(&at("Name"))?;
        if name.is_empty() {
            return Err(FieldError::new(&at("Name"), "is missing"));
        }
        if names.iter().any(|other| other == name) {
            return Err(FieldError::new(&at("Name"), &format!("'{name}' is another class's name as well")));
        }
        names.push(name.to_string());
        longest = longest.max(deadline.unwrap_or(0));
        classes.push(Class {
            consistency,
            idempotency: effect(f, i)?,
            latency_objective: aim
                .ok_or_else(|| FieldError::new(&at("TargetUs"), "is missing, and DeadlineUs with it"))?,
            priority_weight: f.amount(&at("Worth"), MOST)?.unwrap_or(0.0),
            late_weight: f.amount(&at("LateValue"), MOST)?.unwrap_or(0.0),
        });
    }
    Ok((classes, names, longest))
}

/// What a repeat does. A word that is not known, for the idempotency or for who recognises a repeat, counts as
/// the most careful
/// one, that it must not run twice: no rule is broken by fewer repeats, while a start that fails serves
/// nobody. (A
/// need that is not known has no careful reading: a write may not be read, nor a read written.)
fn effect(f: &Fields<'_>, class: usize) -> Result<Idempotency, FieldError> {
    let at = |key: &str| format!("Classes.{class}.{key}");
    let window = f.span(&at("MemorySpanUs"))?.unwrap_or(0);
    Ok(match (f.word(&at("Repeat"))?, f.word(&at("Group"))?) {
        ("retryable", _) => Idempotency::Idempotent,
        ("dedup", "all") => Idempotency::Keyed { window, all_groups: true },
        ("dedup", "" | "cell") => Idempotency::Keyed { window, all_groups: false },
        _ => Idempotency::NotIdempotent,
    })
}
