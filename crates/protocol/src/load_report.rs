//! Load reports, which members return to health checks: `name=value` pairs, separated by commas.

/// One value of a load report, as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportValue<'a> {
    /// The name of the column.
    pub name: &'a str,
    /// The value, which is a finite number.
    pub value: &'a str,
}

/// Parses a load report.
///
/// Returns `None` unless the report has exactly one finite number for each of `columns` and no other pairs.
/// An invalid report is treated like a missing one.
pub fn parse<'a>(text: &'a str, columns: &[String]) -> Option<Vec<ReportValue<'a>>> {
    let values: Vec<_> = text.split(',').map(parse_value).collect::<Option<_>>()?;
    let occurs_once = |column: &String| values.iter().filter(|value| value.name == column).count() == 1;
    let is_complete = values.len() == columns.len() && columns.iter().all(occurs_once);
    is_complete.then_some(values)
}

fn parse_value(pair: &str) -> Option<ReportValue<'_>> {
    let (name, value) = pair.split_once('=')?;
    let (name, value) = (name.trim(), value.trim());
    let number: f64 = value.parse().ok()?;
    number.is_finite().then_some(ReportValue { name, value })
}

/// Converts seconds in decimal notation to microseconds, rounded down. Uses integers only, since a
/// floating-point number cannot represent every log position exactly.
pub fn seconds_to_micros(text: &str) -> Option<i64> {
    const MICROS_PER_SECOND: i64 = 1_000_000;
    const FRACTION_DIGITS: usize = 6;
    let (seconds, fraction) = text.split_once('.').unwrap_or((text, ""));
    let mut micros = seconds.parse::<i64>().ok()?.checked_mul(MICROS_PER_SECOND)?;
    let mut unit = MICROS_PER_SECOND / 10;
    for byte in fraction.bytes().take(FRACTION_DIGITS) {
        let digit = byte.checked_sub(b'0').filter(|digit| *digit <= 9)?;
        micros += i64::from(digit) * unit;
        unit /= 10;
    }
    Some(micros)
}
