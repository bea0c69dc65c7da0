//! Medians of scores.

/// A score, and the number of samples that it is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedScore {
    /// The outlier score.
    pub score: f64,
    /// The weight of the score in a weighted median.
    pub weight: u64,
}

/// Returns the median of some values, or 0 if there are none. For an even number it is the mean of the two
/// middle values: with few members the upper one could be the slow member's own value, which would cancel the
/// evidence against it.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
    (at(values.len().saturating_sub(1) / 2) + at(values.len() / 2)) / 2.0
}

/// Returns the lower weighted median, with each weight capped at the median weight, or none if there are no
/// scores.
pub fn weighted_median(scores: &[WeightedScore]) -> Option<f64> {
    let cap = median_weight(scores)?;
    let mut capped: Vec<WeightedScore> =
        scores.iter().map(|entry| WeightedScore { weight: entry.weight.min(cap), ..*entry }).collect();
    capped.sort_by(|a, b| a.score.total_cmp(&b.score));
    let total: u64 = capped.iter().map(|entry| entry.weight).sum();
    let mut cumulative = 0;
    capped.into_iter().find_map(|entry| {
        cumulative += entry.weight;
        (cumulative * 2 >= total).then_some(entry.score)
    })
}

fn median_weight(scores: &[WeightedScore]) -> Option<u64> {
    let mut weights: Vec<u64> = scores.iter().map(|entry| entry.weight).collect();
    weights.sort_unstable();
    let middle = weights.len().checked_sub(1)? / 2;
    weights.get(middle).copied()
}
