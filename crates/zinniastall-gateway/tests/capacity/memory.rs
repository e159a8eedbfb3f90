//! Tokens at engines.

use proptest::prelude::*;
use zinniastall_gateway::decide::memory::{Footprint, Memory};

fn footprint(shared: &[(&str, u64)], own: u64) -> Footprint {
    let parts: Vec<(String, u64)> = shared
        .iter()
        .map(|(id, n)| ((*id).to_owned(), *n))
        .collect();
    let prompt = own + shared.iter().map(|(_, tokens)| tokens).sum::<u64>();
    Footprint::new(parts, prompt, Some(50))
}

/// Guards against engines that seem full because each request counts the parts that all share.
#[test]
fn shared_parts_count_once() {
    let mut memory = Memory::default();
    let draft = footprint(&[("p", 3_000), ("q", 3_300)], 2_900);
    assert_eq!(memory.expected("e", "s", 0, &draft), 9_250);
    memory.start("e", "s", &draft);
    memory.start("e", "s", &draft);
    assert_eq!(memory.own("e"), 6_300 + 2 * 2_950);
    assert_eq!(memory.expected("e", "s", 0, &draft), 6_300 + 3 * 2_950);
    memory.end("e", &draft);
    assert_eq!(memory.own("e"), 9_250);
}

/// Of the requests of other instances only the number is known.
#[test]
fn others_count_as_the_mean() {
    let mut memory = Memory::default();
    memory.start("e", "s", &footprint(&[], 950));
    memory.start("e", "s", &footprint(&[], 2_950));
    let small = footprint(&[], 0);
    assert_eq!(memory.expected("other", "s", 10, &small), 20_050);
}

const PARTS: [(&str, u64); 4] = [("p", 900), ("q", 3_000), ("r", 3_300), ("s", 70)];

proptest! {
    /// A part counts as long as any request with it is in flight, and the rest of each request as
    /// long as that one is; at the end nothing is left.
    #[test]
    fn tokens_return_to_zero(
        requests in prop::collection::vec((0..3usize, 0..4usize, 0..100_000u64, any::<bool>()), 0..60),
    ) {
        let mut memory = Memory::default();
        let mut running: Vec<(&str, usize, u64)> = Vec::new();
        let request = |part: usize, own: u64| footprint(&PARTS[part..=part], own);
        for (target, part, own, ends) in requests {
            let target = ["a", "b", "c"][target];
            memory.start(target, "s", &request(part, own));
            running.push((target, part, own));
            if ends {
                let (target, part, own) = running.swap_remove(0);
                memory.end(target, &request(part, own));
            }
            for name in ["a", "b", "c"] {
                let held = running.iter().filter(|(target, ..)| *target == name);
                let own: u64 = held.clone().map(|(.., own)| own + 50).sum();
                let is_held = |part: &usize| held.clone().any(|(_, held, _)| held == part);
                let shared = (0..PARTS.len()).filter(is_held).map(|part| PARTS[part].1);
                prop_assert_eq!(memory.own(name), own + shared.sum::<u64>());
            }
        }
        for (target, part, own) in running {
            memory.end(target, &request(part, own));
        }
        // An end without a start takes nothing below zero.
        memory.end("a", &request(0, 10));
        for target in ["a", "b", "c"] {
            prop_assert_eq!(memory.own(target), 0);
        }
    }
}
