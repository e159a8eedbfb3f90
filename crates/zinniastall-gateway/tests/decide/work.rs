//! What is learned of plain services' work, and what it does to a region at its peak.

use std::time::Duration;

use zinniastall_gateway::decide::service_time::Estimate;

const ASSUMED: Duration = Duration::from_millis(20);

fn learned(answers: impl IntoIterator<Item = (u64, u32)>) -> Duration {
    let mut work = Estimate::default();
    for (took_ms, ahead) in answers {
        work.observe(Duration::from_millis(took_ms), ahead, 6);
    }
    work.expected(ASSUMED)
}

macro_rules! learns {
    ($($name:ident: $answers:expr => $least:expr, $most:expr;)*) => {$(
        #[test]
        fn $name() {
            let work = learned($answers);
            let range = Duration::from_millis($least)..=Duration::from_millis($most);
            assert!(range.contains(&work), "{work:?}");
        }
    )*};
}

learns! {
    nothing_is_what_was_assumed: [] => 20, 20;
    a_few_answers_count: [(60, 0); 5] => 50, 60;
    a_slow_service_is_known_after_twenty_answers: [(60, 0); 20] => 57, 60;
    a_quick_service_is_known_after_twenty_answers: [(5, 2); 20] => 5, 6;
    waiting_for_a_slot_is_no_work: [(240, 23); 30] => 55, 62;
    a_quarter_that_fail_at_once_move_it_little:
        (0..400).map(|number| (if number % 4 == 0 { 0 } else { 60 }, 0)) => 42, 62;
    one_answer_that_was_held_up_moves_it_little:
        (0..100).map(|number| (if number == 99 { 5_000 } else { 60 }, 0)) => 60, 72;
    a_service_that_turns_slow_is_followed:
        (0..200).map(|number| (if number < 50 { 20 } else { 100 }, 0)) => 95, 101;
}
