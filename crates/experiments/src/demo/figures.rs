//! The figures of the demo: as JSON ([`collect`]), and as tables on the terminal ([`show`]).

use super::notices::Notice;
use super::Options;
use crate::load::LoadResult;
use crate::table;
use hdrhistogram::Histogram;
use pinetrail_history_checker::check;
use pinetrail_test_harness::recorder::Recorder;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Checks the recorded history and returns all figures of a run as JSON.
pub(super) fn collect(options: &Options, result: &LoadResult, notices: &[Notice]) -> Value {
    let broken: Vec<String> = match check(&Recorder::current().history()) {
        Ok(violations) => violations.iter().map(ToString::to_string).collect(),
        Err(error) => vec![format!("the history cannot be checked: {error:?}")],
    };
    let mut histogram = Histogram::<u64>::new(3).expect("three significant digits are valid");
    for us in &result.latencies_us {
        histogram.record(*us).expect("the histogram resizes itself");
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    let known: Vec<Value> = notices.iter().map(notice_json).collect();
    json!({
        "seconds": options.seconds,
        "seed": options.seed,
        "requests": result.requests,
        "answers": result.responses,
        "asked_again": result.retries,
        "without_answer": result.unanswered,
        "answered_twice": result.duplicate_responses,
        "latency_ms": {"p50": at(0.5), "p99": at(0.99), "max": histogram.max() as f64 / 1000.0},
        "known": known,
        "rules_broken": broken,
    })
}

fn notice_json(notice: &Notice) -> Value {
    let Notice { member, subject, event, after_ms } = notice;
    json!({"member": member, "of": subject, "what": event, "after_ms": after_ms.map(|ms| ms as u64)})
}

/// Prints the figures as tables.
pub(super) fn show(figures: &Value, notices: &[Notice]) {
    let number = |name: &str| figures[name].to_string();
    let answers: BTreeMap<String, Value> = match &figures["answers"] {
        Value::Object(answers) => answers.clone().into_iter().collect(),
        _ => BTreeMap::new(),
    };
    let mut rows = vec![vec!["requests".to_owned(), number("requests")]];
    rows.extend(answers.iter().map(|(kind, count)| vec![format!("  {kind}"), count.to_string()]));
    rows.push(vec!["retries after a broken connection".into(), number("asked_again")]);
    rows.push(vec!["without a final response".into(), number("without_answer")]);
    rows.push(vec!["with two final responses".into(), number("answered_twice")]);
    for name in ["p50", "p99", "max"] {
        let ms = figures["latency_ms"][name].as_f64().unwrap_or_default();
        rows.push(vec![format!("ms from the due time, {name}"), format!("{ms:.1}")]);
    }
    table::print(&["", "count"], &rows);
    println!();
    let rows: Vec<Vec<String>> = notices
        .iter()
        .map(|Notice { member, subject, event, after_ms }| {
            let ms = after_ms.map_or("never".to_owned(), |ms| ms.to_string());
            vec![format!("{member} noticed that {subject} was {event}"), ms]
        })
        .collect();
    table::print(&["", "ms after"], &rows);
    let broken = figures["rules_broken"].as_array().map_or(&[][..], Vec::as_slice);
    if broken.is_empty() {
        println!("\nNo rule was violated.");
    }
    for rule in broken {
        println!("\nVIOLATED: {rule}");
    }
}
