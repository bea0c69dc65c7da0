//! What a run sent its cold members, compared with what overloads them.

use super::*;

impl Outcomes {
    /// All that a cold member was sent in each span of `overload_span`, as a part of what overloads it: the largest of all
    /// members, and the mean over spans that begin a tenth of a second apart.
    pub fn overload_parts(&self, scenario: &Scenario) -> (f64, f64) {
        let (mut largest, mut sum, mut spans) = (0.0_f64, 0.0, 0.0);
        for host in &scenario.cold {
            let sends: Vec<(Micros, f64)> =
                self.sends.iter().filter(|s| s.0 == *host).map(|s| (s.1, s.2)).collect();
            let part = |from: Micros| {
                let within = sends.iter().filter(|s| (from..from + scenario.overload_span).contains(&s.0));
                let allowed = OVERLOAD_MULTIPLE
                    * scenario.capacity_part(from)
                    * scenario.requests_per_second()
                    * scenario.overload_span as f64
                    / 1e6;
                within.map(|s| s.1).sum::<f64>() / (allowed + 2.0 * allowed.sqrt() + 2.0)
            };
            largest = sends.iter().map(|s| part(s.0)).fold(largest, f64::max);
            for from in (0..scenario.slow_start_span - scenario.overload_span).step_by(100_000) {
                sum += part(from);
                spans += 1.0;
            }
        }
        (largest, sum / f64::max(spans, 1.0))
    }
}

impl Outcomes {
    /// The largest span: member, its start, sends by work.
    pub fn describe_worst(&self, scenario: &Scenario) -> String {
        let mut best = (0.0, String::new());
        for host in &scenario.cold {
            let sends: Vec<(Micros, f64)> =
                self.sends.iter().filter(|s| s.0 == *host).map(|s| (s.1, s.2)).collect();
            for &(from, _) in &sends {
                let within: Vec<f64> = sends
                    .iter()
                    .filter(|s| (from..from + scenario.overload_span).contains(&s.0))
                    .map(|s| s.1)
                    .collect();
                let n = OVERLOAD_MULTIPLE
                    * scenario.capacity_part(from)
                    * scenario.requests_per_second()
                    * scenario.overload_span as f64
                    / 1e6;
                let part = within.iter().sum::<f64>() / (n + 2.0 * n.sqrt() + 2.0);
                if part > best.0 {
                    let heavy = within.iter().filter(|w| **w > 5.0).count();
                    best = (
                        part,
                        format!(
                            "{part:.2} host {host} at {from} N {n:.1} sends {} heavy {heavy} work {:.1}",
                            within.len(),
                            within.iter().sum::<f64>()
                        ),
                    );
                }
            }
        }
        best.1
    }
}
