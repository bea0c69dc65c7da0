//! Compares what a simulation sent its cold members with what overloads them.

use super::*;

impl Scenario {
    /// The work that a cold member tolerates within an overload span that begins at this age, in requests of
    /// mean work.
    fn overload_limit(&self, age: Micros) -> f64 {
        let span = self.overload_span as f64 / 1e6;
        let budget = OVERLOAD_MULTIPLE * self.capacity_fraction(age) * self.requests_per_second() * span;
        budget + 2.0 * budget.sqrt() + 2.0
    }
}

/// The requests that a cold member was sent within an overload span.
#[derive(Clone, Debug, Default)]
pub struct Span {
    pub host: u32,
    pub age: Micros,
    /// The work as a fraction of what overloads the member.
    pub fraction: f64,
    pub work: f64,
    pub sends: usize,
    /// The number of sends of more than five times the mean work.
    pub long: usize,
}

impl Outcomes {
    fn span_from(&self, scenario: &Scenario, host: u32, age: Micros) -> Span {
        let span = age..age + scenario.overload_span;
        let within = self.sends.iter().filter(|send| send.0 == host && span.contains(&send.1));
        let mut result = Span { host, age, ..Span::default() };
        for (_, _, work) in within {
            result.work += work;
            result.sends += 1;
            result.long += usize::from(*work > 5.0);
        }
        result.fraction = result.work / scenario.overload_limit(age);
        result
    }

    /// The span in which a cold member was sent the largest fraction of what overloads it.
    pub fn worst_span(&self, scenario: &Scenario) -> Span {
        let spans = self.sends.iter().map(|(host, age, _)| self.span_from(scenario, *host, *age));
        spans.max_by(|a, b| a.fraction.total_cmp(&b.fraction)).unwrap_or_default()
    }

    /// The mean fraction over spans that begin a tenth of a second apart.
    pub fn mean_fraction(&self, scenario: &Scenario) -> f64 {
        let ages = (0..scenario.slow_start_span - scenario.overload_span).step_by(100_000);
        let hosts = scenario.cold.iter();
        let fractions: Vec<f64> = hosts
            .flat_map(|host| ages.clone().map(move |age| (*host, age)))
            .map(|(host, age)| self.span_from(scenario, host, age).fraction)
            .collect();
        fractions.iter().sum::<f64>() / fractions.len().max(1) as f64
    }
}
