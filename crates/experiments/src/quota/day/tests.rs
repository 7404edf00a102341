use super::*;

/// Plays a scenario with 30 proxies; its outcome has no points of the plot, for shorter messages.
fn day(event: Event, rule: Rule) -> Outcome {
    Outcome { shares: Vec::new(), ..Scenario { proxies: 30, event, rule, seed: 1 }.play() }
}

#[test]
fn in_a_partition_only_division_by_the_live_overloads_the_origin() {
    let [fixed, live, leased] = [Rule::Static, Rule::Live, Rule::Leased].map(|rule| day(Event::Cut, rule));
    assert!(fixed.most <= 1.0 && leased.most <= 1.0 && leased.sum <= 1.0 + 1e-9);
    assert!(live.most > 1.2 && live.sum > 1.5, "{live:?}");
}

#[test]
fn in_a_release_leased_quotas_serve_more_than_static_ones() {
    let [fixed, leased] = [Rule::Static, Rule::Leased].map(|rule| day(Event::Release, rule));
    assert!(leased.served_percent > fixed.served_percent, "{leased:?} {fixed:?}");
    assert!(leased.grown_ms.is_some() && leased.sum <= 1.0 + 1e-9);
}
