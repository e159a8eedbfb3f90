//! From which target another one copies the prompt tokens that it lacks.

use std::time::Duration;

use zinniastall_gateway::decide::fetch::{Holder, Link, source};

const LINK: Link = Link {
    token_bytes: 18_432,
    mbps: 370_000,
};

const fn holder(known: u64, expected: u64) -> Holder {
    Holder { known, expected }
}

/// Time to prefill tokens at 40 per millisecond.
fn prefill_time(tokens: u64) -> Duration {
    Duration::from_micros(tokens * 25)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $holders:expr, $link:expr => $source:expr;)*) => {
        $($(#[$doc])* #[test]
        fn $name() {
            assert_eq!(source(&$holders, 0, $link, prefill_time), $source);
        })*
    };
}

cases! {
    missing_tokens_are_copied_from_the_target_that_holds_most:
        [holder(0, 0), holder(2_500, 2_500), holder(0, 6_300)], LINK => Some(2);
    /// Two targets are expected to hold as much; one of them was sent it by this instance.
    a_known_holder_is_preferred_to_a_likely_one:
        [holder(0, 0), holder(0, 6_300), holder(6_300, 6_300)], LINK => Some(2);
    /// Other instances may have sent the prompt to this target too, but that isn't known.
    tokens_that_are_only_likely_held_are_copied_anyway:
        [holder(0, 6_300), holder(6_300, 6_300)], LINK => Some(1);
    tokens_that_are_held_are_not_copied:
        [holder(6_300, 6_300), holder(6_300, 6_300)], LINK => None;
    /// Setting up a copy takes as long as prefilling so few tokens.
    few_tokens_are_not_copied: [holder(0, 0), holder(198, 198)], LINK => None;
    engines_without_a_link_copy_nothing:
        [holder(0, 0), holder(6_300, 6_300)], Link { mbps: 0, ..LINK } => None;
    /// Copying at a hundredth of the rate takes 250 ms, prefilling 158 ms.
    a_link_that_is_slower_than_reading_is_not_used:
        [holder(0, 0), holder(6_300, 6_300)], Link { mbps: 3_700, ..LINK } => None;
    a_single_target_has_no_source: [holder(0, 6_300)], LINK => None;
}
