//! Deterministic pseudo-random numbers. The same seed and input give the same number, so that decisions can
//! be replayed.

/// A number in `[0, 1)` determined by `seed` and `value`, mixed with the steps of `SplitMix64`.
pub(super) fn unit_interval(seed: u64, value: u64) -> f64 {
    let mix = |bits: u64, factor: u64| (bits ^ (bits >> 31)).wrapping_mul(factor);
    let mixed = mix(seed ^ value, 0xbf58_476d_1ce4_e5b9);
    let mixed = mix(mixed, 0x94d0_49bb_1331_11eb);
    let mixed = mix(mixed, 1);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}

/// A hash of `bytes` that starts from `salt`, with the prime of FNV-1a.
pub(super) fn salted_hash(salt: u64, bytes: &[u8]) -> u64 {
    const FNV_PRIME: u64 = 0x100_0000_01b3;
    bytes.iter().fold(salt, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
