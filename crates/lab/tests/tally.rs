//! Sums over the logs of many proxies.

use wharfplank_lab::tally::{Tally, MAX_NAMED_MEMBERS};

#[test]
fn sums_text_and_json_logs() {
    let text = "0.1 started listen=127.0.0.1:1\n\
                1.0 counts at_ms=5000 what=probe.read=2,refused.shed.lookup=1\n\
                2.0 counts at_ms=6000 what=probe.read=3\n\
                2.1 ended side=member peer=127.0.0.1:2 name=m1 reason=retired requests=0 age_ms=9\n\
                3.0 counts what=probe.read=1\n";
    let json = "{\"time_ms\":1,\"level\":\"debug\",\"event\":\"counts\",\"at_ms\":4000,\"what\":\"probe.read=7\"}\n\
                {\"event\":\"ended\",\"side\":\"discovery\",\"peer\":\"x\",\"name\":\"-\",\"reason\":\"timeout\",\"requests\":0}\n\
                {not json\n";
    let mut tally = Tally::default();
    tally.add_log(text);
    tally.add_log(json);
    assert_eq!(tally.total("probe."), 12);
    assert_eq!(tally.total("refused."), 1);
    // The JSON log starts one second before the text log: the series shift by one.
    assert_eq!(tally.totals_by_second("probe.read"), vec![7, 2, 3]);
    assert_eq!(tally.unused_connections.get("m1"), Some(&1));
    assert_eq!(tally.discovery.get("timeout"), Some(&1));
    assert_eq!((tally.logs, tally.malformed), (2, 2));
}

#[test]
fn members_past_the_limit_are_summed_as_others() {
    let mut tally = Tally::default();
    let mut text = String::new();
    for i in 0..MAX_NAMED_MEMBERS + 5 {
        text.push_str(&format!("ended side=member peer=p name=m{i} reason=reset requests=1\n"));
    }
    tally.add_log(&text);
    assert_eq!(tally.members.len(), MAX_NAMED_MEMBERS + 1);
    assert_eq!(tally.members["others"]["reset"], 5);
}
