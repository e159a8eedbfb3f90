//! What is learned about the service time of plain services.

use std::time::Duration;

use zinniastall_gateway::decide::service_time::Estimate;

const ASSUMED: Duration = Duration::from_millis(20);

fn learned_from(responses: impl IntoIterator<Item = (u64, u32)>) -> Duration {
    let mut estimate = Estimate::default();
    for (took_ms, ahead) in responses {
        estimate.observe(Duration::from_millis(took_ms), ahead, 6);
    }
    estimate.expected(ASSUMED)
}

macro_rules! learns {
    ($($name:ident: $responses:expr => $least:expr, $most:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected = learned_from($responses);
            let range = Duration::from_millis($least)..=Duration::from_millis($most);
            assert!(range.contains(&expected), "{expected:?}");
        }
    )*};
}

learns! {
    no_responses_yield_the_assumed_time: [] => 20, 20;
    a_few_responses_count: [(60, 0); 5] => 50, 60;
    a_slow_service_is_known_after_twenty_responses: [(60, 0); 20] => 57, 60;
    a_fast_service_is_known_after_twenty_responses: [(5, 2); 20] => 5, 6;
    time_in_the_queue_does_not_count: [(240, 23); 30] => 55, 62;
    a_quarter_of_immediate_failures_changes_little:
        (0..400).map(|number| (if number % 4 == 0 { 0 } else { 60 }, 0)) => 42, 62;
    one_delayed_response_changes_little:
        (0..100).map(|number| (if number == 99 { 5_000 } else { 60 }, 0)) => 60, 72;
    a_service_that_slows_down_is_tracked:
        (0..200).map(|number| (if number < 50 { 20 } else { 100 }, 0)) => 95, 101;
}
