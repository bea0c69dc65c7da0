//! Medians of scores.

/// A score, and the number of samples that it is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedScore {
    /// The outlier score.
    pub score: f64,
    /// The weight.
    pub weight: u64,
}

/// The median of some values, midway between the two in the middle if their number is even: the upper one would be the
/// slow member's own where few members are seen, and cancel the evidence against it. The median of no values is 0.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
    (at(values.len().saturating_sub(1) / 2) + at(values.len() / 2)) / 2.0
}

/// The lower weighted median, with each weight capped at the median weight; none of no scores.
pub fn weighted_median(scores: &[WeightedScore]) -> Option<f64> {
    let cap = median_weight(scores)?;
    let mut capped: Vec<WeightedScore> =
        scores.iter().map(|vote| WeightedScore { weight: vote.weight.min(cap), ..*vote }).collect();
    capped.sort_by(|a, b| a.score.total_cmp(&b.score));
    let total: u64 = capped.iter().map(|vote| vote.weight).sum();
    let mut cumulative = 0;
    capped.into_iter().find_map(|vote| {
        cumulative += vote.weight;
        (cumulative * 2 >= total).then_some(vote.score)
    })
}

fn median_weight(scores: &[WeightedScore]) -> Option<u64> {
    let mut weights: Vec<u64> = scores.iter().map(|vote| vote.weight).collect();
    weights.sort_unstable();
    let middle = weights.len().checked_sub(1)? / 2;
    weights.get(middle).copied()
}
