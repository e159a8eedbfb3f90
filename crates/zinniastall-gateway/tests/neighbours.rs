//! What neighbours say of their requests at targets.

use std::time::{Duration, Instant};

use zinniastall_gateway::neighbours::{Load, Neighbours};

fn load(flights: u32) -> Vec<(String, Load)> {
    let load = Load {
        flights,
        reading_us: 100,
    };
    vec![("t".to_owned(), load)]
}

/// An instance dies with requests on its books. Its last word must not weigh on its targets for long.
#[test]
fn the_last_word_of_a_neighbour_fades() {
    let now = Instant::now();
    let mut neighbours = Neighbours::default();
    neighbours.hear("a", 1, load(3), now);
    neighbours.hear("b", 1, load(4), now);
    assert_eq!(neighbours.at("t", now).flights, 7);
    neighbours.hear("b", 2, load(1), now + Duration::from_millis(500));
    assert_eq!(
        neighbours.at("t", now + Duration::from_millis(700)).flights,
        1
    );
    assert_eq!(
        neighbours.at("t", now + Duration::from_secs(2)),
        Load::default()
    );
    assert_eq!(neighbours.at("other", now), Load::default());
}

/// With forty neighbours each is told twice a second instead of ten times, and its word lasts longer.
#[test]
fn many_neighbours_are_told_less_often() {
    let now = Instant::now();
    let mut neighbours = Neighbours::default();
    assert_eq!(neighbours.spread(3), 1);
    assert_eq!(neighbours.spread(40), 5);
    neighbours.hear("a", 1, load(3), now);
    assert_eq!(neighbours.at("t", now + Duration::from_secs(2)).flights, 3);
}

/// A region has more targets than one datagram holds. The parts of a word stand beside each other, and the
/// next word replaces all of them: a target that it doesn't name has no requests any more.
#[test]
fn parts_of_a_word_stand_beside_each_other() {
    let now = Instant::now();
    let part = |target: &str, flights| {
        let load = Load {
            flights,
            reading_us: 0,
        };
        vec![(target.to_owned(), load)]
    };
    let mut neighbours = Neighbours::default();
    neighbours.hear("a", 7, part("t1", 3), now);
    neighbours.hear("a", 7, part("t2", 4), now);
    assert_eq!(
        (
            neighbours.at("t1", now).flights,
            neighbours.at("t2", now).flights
        ),
        (3, 4)
    );
    neighbours.hear("a", 8, part("t2", 5), now);
    assert_eq!(
        (
            neighbours.at("t1", now).flights,
            neighbours.at("t2", now).flights
        ),
        (0, 5)
    );
}
