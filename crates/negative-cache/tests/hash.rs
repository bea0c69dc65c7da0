//! Hashes with different domains, groups or secrets are independent.

use wharfplank_negative_cache::KeyHasher;

#[test]
fn hash_depends_on_domain_group_and_secret() {
    let (one, two) = (KeyHasher::new([1; 16]), KeyHasher::new([2; 16]));
    assert_eq!(one.statement(1, b"x"), one.statement(1, b"x"));
    assert_ne!(one.statement(1, b"x"), one.statement(2, b"x"));
    assert_ne!(one.statement(1, b"x"), two.statement(1, b"x"));
    assert_ne!(one.key(1, b""), one.whole_group(1));
    assert_ne!(one.statement(1, b"x").0 as u32, one.key(1, b"x").0);
}
