//! Translates the operator's settings into those of the router, for the proxy and the simulator adapter.

mod classes;
mod error;
mod fields;

use super::api::{Micros, Settings, StaleReadPolicy};
use classes::Classes;
pub use error::{FieldError, FieldProblem};
pub use fields::{Fields, MAX_SPAN};

/// The parameters in the operator's settings that are not for the router.
#[derive(Clone, Debug)]
pub struct ProxyParameters {
    /// The names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// The router's own zone.
    pub zone: String,
    /// The names of the values in a load report.
    pub report_columns: Vec<String>,
    /// The origin of the simulator's log positions.
    pub position_origin: Micros,
    /// The time after which a connection that is not yet established is given up, since it never will be.
    pub connect_timeout: Micros,
    /// The time after which a member closes an idle connection.
    pub keepalive: Micros,
    /// The time within which sends to a member must end once the router is notified that it drains or is
    /// removed.
    pub drain_within: Micros,
    /// The longest deadline of any class; 0 if none has one.
    pub longest_deadline: Micros,
    /// The maximum interval between polls of discovery, where it must be polled.
    pub poll_interval: Option<Micros>,
}

/// The maximum priority weight of a class, and the maximum overload multiple of a member.
const MAX_FACTOR: f64 = 1e9;
/// The maximum time that is accepted, so that times convert to floating point without loss.
const MAX_TIME: u64 = 1 << 53;
/// The default connect timeout, in µs.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// The default time, in µs, for which a member keeps idle connections.
const DEFAULT_KEEPALIVE: Micros = 15_000_000;
/// The default time, in µs, within which sends to a draining member must end.
const DEFAULT_DRAIN_WITHIN: Micros = 1_000_000;

/// Translates settings in the form of the simulator's first message. Fields that are absent, null or empty
/// get their defaults, and unknown fields are ignored.
///
/// # Errors
///
/// Returns an error that names the field if a value is present but invalid.
pub fn translate(fields: &Fields<'_>) -> Result<(Settings, ProxyParameters), FieldError> {
    for section in ["Allowed", "Classes", "Report", "Rules", "Specifics"] {
        fields.section(section)?;
    }
    let Classes { classes, names, longest_deadline } = Classes::translate(fields)?;
    let report_columns = report_columns(fields)?;
    let settings = Settings {
        max_retry_after: max_retry_after(fields)?,
        seed: fields.get_or("RngSeed", 0)?,
        routers: at_least_one(fields, "Balancers")?.unwrap_or(1),
        classes,
        max_attempts: at_least_one(fields, "Allowed.MaxAttempts")?.unwrap_or(u32::MAX),
        may_cancel: fields.flag("Allowed.MayCancel")?,
        may_probe: fields.flag("Allowed.MayProbe")?,
        must_subscribe: fields.word("Discovery")? == "ask",
        slow_start_from: fields.number_up_to("Rules.ColdFrom", 1.0)?.unwrap_or(1.0),
        slow_start_span: fields.span("Rules.ColdUs")?.unwrap_or(0),
        overload_multiple: fields.number_up_to("Rules.FallMultiple", MAX_FACTOR)?.unwrap_or(1.0),
        overload_span: fields.span("Rules.OverloadForUs")?.unwrap_or(0),
        stale_reads: match fields.word("Specifics.WhenBehind")? {
            "bounce" | "await" => StaleReadPolicy::Reject,
            _ => StaleReadPolicy::Serve,
        },
        removal_is_advisory: fields.flag("Rules.GoneIsAdvice")?,
        sessions_carry_tokens: fields.word("Specifics.SessionMarks")? == "brought",
    };
    let parameters = ProxyParameters {
        position_origin: position_origin(fields)?,
        class_names: names,
        zone: fields.plain("Az")?.to_string(),
        report_columns,
        connect_timeout: fields.span("Allowed.ConnectTimeoutUs")?.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
        keepalive: fields.span("Allowed.KeepaliveUs")?.unwrap_or(DEFAULT_KEEPALIVE),
        drain_within: fields.span("Rules.StopSendingWithinUs")?.unwrap_or(DEFAULT_DRAIN_WITHIN),
        longest_deadline,
        poll_interval: fields.span("Rules.AskEveryUs")?.filter(|interval| *interval > 0),
    };
    Ok((settings, parameters))
}

fn report_columns(fields: &Fields<'_>) -> Result<Vec<String>, FieldError> {
    let columns = fields.parts("Report.Columns")?;
    Ok(columns.into_iter().filter(|column| !column.is_empty()).map(str::to_string).collect())
}

/// The maximum Retry-After span that clients respect; 0 if rejections carry none.
fn max_retry_after(fields: &Fields<'_>) -> Result<Micros, FieldError> {
    let carries_retry_after = fields.flag("Allowed.RetryAfter")?;
    let max = fields.span("Allowed.MaxRetryAfterUs")?.unwrap_or(0);
    Ok(if carries_retry_after { max } else { 0 })
}

fn position_origin(fields: &Fields<'_>) -> Result<Micros, FieldError> {
    let name = "Specifics.OriginTimeUs";
    let origin: Micros = fields.get_or(name, 0)?;
    if origin.unsigned_abs() > MAX_TIME {
        return Err(FieldError::new(name, FieldProblem::NotTime(origin)));
    }
    Ok(origin)
}

fn at_least_one(fields: &Fields<'_>, name: &str) -> Result<Option<u32>, FieldError> {
    match fields.get::<u32>(name)? {
        Some(0) => Err(FieldError::new(name, FieldProblem::Zero)),
        other => Ok(other),
    }
}
