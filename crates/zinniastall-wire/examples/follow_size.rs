//! Prints the sizes of a change, a confirmation and a keepalive on a follow link.
//!
//! `cargo run -p zinniastall-wire --example follow_size`

use zinniastall_model::{
    change::{Body, Change, Origin},
    object::{Model, Object},
};
use zinniastall_wire::{
    follow::{Confirmation, Message},
    frame::{Error, Frame},
};

fn main() -> Result<(), Error> {
    let change = Change {
        origin: Some(Origin {
            operator: "nightly".to_owned(),
            command: "0123456789abcdef0123456789abcdef".to_owned(),
        }),
        expected: Some(1_000_000),
        body: Body::Apply(Object::Model(Model {
            id: "map-labels".to_owned(),
            version: "2026-12-02".to_owned(),
            weights: "store/map-labels/weights".to_owned(),
        })),
    };
    let confirmation = Confirmation {
        instance: "thessaloniki-a-1".to_owned(),
        incarnation: 1_796_246_951_194,
        revision: 1_000_000,
        draining: false,
    };
    let keepalive = Message::Alive {
        revision: 1_000_000,
        connected: true,
    };
    print("change", Message::Changes(vec![(1_000_000, change)]))?;
    print("confirmation", Message::Confirm(vec![confirmation]))?;
    print("sign of life", keepalive)
}

fn print(what: &str, message: Message) -> Result<(), Error> {
    let bytes = Frame::Follow(message).encode()?.len();
    println!("{what}: {bytes} bytes, less the link's own 2 to 10");
    Ok(())
}
