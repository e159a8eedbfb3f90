//! Counters and histograms.

use std::time::Duration;

use zinniastall_gateway::{metrics::Metrics, request_log::End};

/// Returns the sum of all samples of a metric.
fn sum(text: &str, metric: &str) -> f64 {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let samples = lines.filter(|line| {
        let name = line.split(['{', ' ']).next().unwrap_or_default();
        name == metric
    });
    let values = samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Guards against a number of time series that grows with the number of accounts.
#[test]
fn quotas_are_counted_by_account_up_to_a_bound() {
    let metrics = Metrics::new();
    for number in 0..200 {
        metrics.count_units(&format!("account-{number}"), 10, number % 2 == 0);
    }
    let text = metrics.text();
    let lines = text
        .lines()
        .filter(|line| line.contains("quota_units_total{"));
    assert!(lines.count() <= 66);
    assert!(
        text.contains(r#"account="account-0",outcome="admitted"} 10"#),
        "{text}"
    );
}

/// Histograms and counters cover the same requests, so that dividing one by the other yields a
/// meaningful average.
#[test]
fn sums_of_histograms_equal_the_requests_counted() {
    let metrics = Metrics::new();
    for number in 0..250_u64 {
        let outcome = if number % 5 == 0 {
            "not-sent"
        } else {
            "answered"
        };
        let is_answered = outcome == "answered";
        let end = End {
            first_byte: is_answered.then(|| Duration::from_millis(number)),
            longest_gap: Duration::from_millis(number) * u32::from(is_answered),
            duration: Duration::from_millis(number * 2),
            ..End::untimed(outcome)
        };
        metrics.count_request(&format!("route-{}", number % 7), &end);
    }
    let text = metrics.text();
    assert_eq!(
        sum(&text, "zinniastall_gateway_requests_total").to_string(),
        "250"
    );
    assert_eq!(
        sum(&text, "zinniastall_gateway_request_seconds_count").to_string(),
        "250"
    );
    assert_eq!(
        sum(&text, "zinniastall_gateway_first_seconds_count").to_string(),
        "200"
    );
    assert_eq!(
        sum(&text, "zinniastall_gateway_pause_seconds_count").to_string(),
        "200"
    );
    assert_eq!(metrics.request_count(), 250);
    assert!(text.ends_with("# EOF\n"));
}

/// Operators add hundreds of routes. Time series for each of them would take megabytes in every
/// instance.
#[test]
fn series_are_kept_for_a_bounded_number_of_routes() {
    let metrics = Metrics::new();
    for number in 0..1_000 {
        metrics.count_request(&format!("route-{number}"), &End::untimed("answered"));
    }
    let text = metrics.text();
    let series = text
        .lines()
        .filter(|line| line.starts_with("zinniastall_gateway_requests_total"));
    assert_eq!(series.count(), 65);
    assert_eq!(
        sum(&text, "zinniastall_gateway_requests_total").to_string(),
        "1000"
    );
}
