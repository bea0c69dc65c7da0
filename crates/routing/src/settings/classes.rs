//! The request classes of the settings.

use super::{FieldError, FieldProblem, Fields, MAX_FACTOR};
use crate::api::{Class, Consistency, Idempotency, Micros};

/// The request classes, with the parameters of them that the proxy needs.
#[derive(Default)]
pub(super) struct Classes {
    pub(super) classes: Vec<Class>,
    pub(super) names: Vec<String>,
    /// The longest deadline of any class; 0 if none has one.
    pub(super) longest_deadline: Micros,
}

impl Classes {
    pub(super) fn translate(fields: &Fields<'_>) -> Result<Self, FieldError> {
        let count: usize = fields.get_or("Classes.count", 0)?;
        let consistencies = fields.parts("Specifics.Consistency")?;
        let staleness_bounds = fields.spans("Specifics.MaxAgeUs")?;
        check_count("Specifics.Consistency", consistencies.len(), count)?;
        check_count("Specifics.MaxAgeUs", staleness_bounds.len(), count)?;
        let mut translated = Classes::default();
        for index in 0..count {
            let name = consistencies.get(index).copied().unwrap_or_default();
            let consistency = consistency(name, staleness_bounds.get(index).copied())?;
            translated.add(fields, index, consistency)?;
        }
        Ok(translated)
    }

    fn add(&mut self, fields: &Fields<'_>, index: usize, consistency: Consistency) -> Result<(), FieldError> {
        let path = |key: &str| class_field(index, key);
        let deadline = fields.span(&path("DeadlineUs"))?;
        let latency_objective = fields.span(&path("TargetUs"))?.or(deadline);
        self.add_name(&path("Name"), fields.plain(&path("Name"))?)?;
        self.longest_deadline = self.longest_deadline.max(deadline.unwrap_or(0));
        self.classes.push(Class {
            consistency,
            idempotency: idempotency(fields, index)?,
            latency_objective: latency_objective
                .ok_or_else(|| FieldError::new(&path("TargetUs"), FieldProblem::MissingWithDeadline))?,
            priority_weight: fields.number_up_to(&path("Worth"), MAX_FACTOR)?.unwrap_or(0.0),
            late_weight: fields.number_up_to(&path("LateValue"), MAX_FACTOR)?.unwrap_or(0.0),
        });
        Ok(())
    }

    fn add_name(&mut self, field: &str, name: &str) -> Result<(), FieldError> {
        if name.is_empty() {
            return Err(FieldError::new(field, FieldProblem::Missing));
        }
        if self.names.iter().any(|other| other == name) {
            return Err(FieldError::new(field, FieldProblem::DuplicateClass(name.to_string())));
        }
        self.names.push(name.to_string());
        Ok(())
    }
}

fn class_field(index: usize, key: &str) -> String {
    format!("Classes.{index}.{key}")
}

/// Checks that a list is absent or has one entry per class.
fn check_count(field: &str, given: usize, count: usize) -> Result<(), FieldError> {
    if count != 0 && given != 0 && given != count {
        return Err(FieldError::new(field, FieldProblem::WrongCount { given, count }));
    }
    Ok(())
}

fn consistency(name: &str, staleness_bound: Option<Micros>) -> Result<Consistency, FieldError> {
    match name {
        "" | "eventual" => Ok(Consistency::Any),
        "lag_bound" => staleness_bound
            .map(Consistency::BoundedStaleness)
            .ok_or_else(|| FieldError::new("Specifics.MaxAgeUs", FieldProblem::Missing)),
        "causal" => Ok(Consistency::Session),
        "strong" => Ok(Consistency::Strong),
        "mutate" => Ok(Consistency::Write),
        other => Err(FieldError::new("Specifics.Consistency", FieldProblem::Unknown(other.to_string()))),
    }
}

/// Whether requests of the class may be repeated. An unknown value is read as the safest one, that they must
/// not run twice: fewer repeats violate no rule, while a proxy that fails to start serves no requests. An
/// unknown consistency is an error, since it has no safe default: a write must not be routed as a read, nor a
/// read as a write.
fn idempotency(fields: &Fields<'_>, index: usize) -> Result<Idempotency, FieldError> {
    let path = |key: &str| class_field(index, key);
    let window = fields.span(&path("MemorySpanUs"))?.unwrap_or(0);
    Ok(match (fields.word(&path("Repeat"))?, fields.word(&path("Group"))?) {
        ("retryable", _) => Idempotency::Idempotent,
        ("dedup", "all") => Idempotency::Keyed { window, all_groups: true },
        ("dedup", "" | "cell") => Idempotency::Keyed { window, all_groups: false },
        _ => Idempotency::NotIdempotent,
    })
}
