//! Command lines that are accepted and rejected.

use zinniastall_ctl::{
    arguments::{Action, Error},
    call::Call,
    input,
};

fn parse(line: &str) -> Result<Action, Error> {
    Action::parse(line.split(' ').map(Into::into))
}

macro_rules! accepted {
    ($($name:ident: $line:literal => $call:pat,)*) => {
        $(#[test]
        fn $name() {
            let Ok(Action::Run(invocation)) = parse(concat!("--address 127.0.0.1:1 ", $line)) else {
                panic!("not accepted: {}", $line);
            };
            assert!(matches!(invocation.call, $call), "{invocation:?}");
            assert!(!invocation.command.id.is_empty());
        })*
    };
}

accepted! {
    bootstrap: "bootstrap" => Call::Bootstrap,
    apply: r#"apply {"client":{"id":"studio"}}"# => Call::Apply(_),
    get: "get model m" => Call::Get(..),
    watch: "watch client route --after 3 --count 1" => Call::Watch(_),
    local_status: "--local status" => Call::Status { local: true },
    admit: "replica admit 00ff 127.0.0.1:2" => Call::Replica(_),
    retire: "retire patras-a-1" => Call::Retire(_),
}

macro_rules! rejected {
    ($($name:ident: $line:literal => $error:pat,)*) => {
        $(#[test]
        fn $name() {
            let error = parse($line).unwrap_err();
            assert!(matches!(error, $error), "{error:?}");
        })*
    };
}

rejected! {
    no_address: "status" => Error::MissingAddress,
    no_such_call: "--address a:1 frobnicate" => Error::UnknownCall(_),
    no_such_kind: "--address a:1 list cats" => Error::UnknownKind(_),
    left_over: "--address a:1 status now" => Error::UnexpectedArgument(_),
    resend_without_revision: "--address a:1 --command c1 delete model m" => Error::MissingExpected,
    admit_without_address: "--address a:1 replica admit 00ff" => Error::MissingArgument(_),
    misspelt_field: r#"--address a:1 apply {"client":{"idd":"x"}}"# => Error::Object(input::Error::UnknownField(_)),
    no_object: "--address a:1 apply {}" => Error::Object(input::Error::MissingKind),
}
