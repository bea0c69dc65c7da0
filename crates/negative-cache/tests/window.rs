//! Tests of the sliding window over slots.

use wharfplank_negative_cache::SlotWindow;

#[test]
fn window_keeps_slots_when_it_advances() {
    let mut window = SlotWindow::new(10);
    assert!(window.insert(10) && window.insert(11) && window.insert(13) && window.insert(137));
    assert!(!window.insert(9) && !window.insert(138));
    assert_eq!((window.run_length(10), window.run_length(12), window.run_length(13)), (2, 0, 1));
    window.advance_to(11);
    window.advance_to(5);
    assert_eq!(
        (window.first(), window.contains(10), window.contains(11), window.last()),
        (11, false, true, Some(137))
    );
    let mut other = SlotWindow::new(0);
    assert!(other.insert(11) && other.insert(13) && other.insert(14));
    let both = window.intersection(other);
    assert_eq!(
        (both.contains(11), both.contains(13), both.contains(14), both.contains(137)),
        (true, true, false, false)
    );
    assert!(window.union(other).contains(14));
    window.advance_to(1_000_000);
    assert_eq!(window.last(), None);
}
