//! Shares of client accounts in scarce capacity on the request path.

use std::time::{Duration, Instant};

use zinniastall_gateway::decide::quota::{Total, Totals, Usage, key};
use zinniastall_model::routing::{Account, Kind, Quota, Unit};

use crate::{
    accounts::with_accounts,
    cases,
    harness::{Gateway, Response, Target, get, route, view},
    request_log::{keep_log, lines},
};

const CALLS: usize = 40;
const HOT: &str = "Authorization: Bearer k-hot\r\ntokens: 90,10\r\n";
const SMALL: &str = "Authorization: Bearer k-small\r\ntokens: 90,10\r\n";

/// Starts a gateway at which one account asks for ten times what it is given, and requests have been
/// rejected for lack of room; the totals have an age, or are missing.
async fn gateway(has_shares: bool, targets: &[&Target], age: Option<Duration>) -> Gateway {
    let quota = Quota {
        unit: Unit::Tokens { unstated: 200 },
        rate: 1_000_000,
        burst: 1_000_000,
    };
    let account = |name: &str| Account::new(name).key(&format!("k-{name}")).quota(quota);
    let plans = route("/plans/", Kind::Idempotent, 1);
    let accounts = vec![account("hot"), account("small")];
    let mut view = with_accounts(view(vec![plans], targets), accounts);
    view.load_control.fair_shares = has_shares;
    let gateway = Gateway::start(view).await;
    let total = |asked, used| Total {
        usage: Usage { asked, used },
        ..Total::default()
    };
    let totals: Totals = [
        (key("hot"), total(100_000, 1_000)),
        (key("small"), total(500, 500)),
    ]
    .into();
    let now = Instant::now();
    {
        let mut quotas = gateway.proxy.quotas.borrow_mut();
        quotas.set_instances(1);
        if let Some(age) = age {
            quotas.update_totals(totals, now.checked_sub(age).unwrap());
        }
        let mut shares = gateway.proxy.shares.borrow_mut();
        for call in 0..CALLS {
            shares.record_request(now);
            if call % 5 == 0 {
                shares.record_rejection(now);
            }
        }
    }
    gateway
}

async fn calls(gateway: &Gateway, fields: &str) -> Vec<Response> {
    let mut caller = gateway.connect().await;
    let mut responses = Vec::new();
    for _ in 0..CALLS {
        responses.push(caller.call(&get("/plans/1", "a", fields)).await);
    }
    responses
}

async fn rejects_above_the_share() {
    keep_log();
    let target = Target::responding_with("fine").await;
    let gateway = gateway(true, &[&target], Some(Duration::ZERO)).await;
    let responses = calls(&gateway, HOT).await;
    let rejected: Vec<&Response> = responses.iter().filter(|it| it.status != 200).collect();
    assert!(rejected.len() > CALLS / 2, "{} of {CALLS}", rejected.len());
    for response in &rejected {
        assert_eq!(response.status, 503, "429 is for quotas");
        assert!(response.body.contains("not-sent"), "{}", response.body);
        let after: f64 = response.header("retry-after").parse().unwrap();
        assert!((0.25..=3.0).contains(&after), "{after}");
    }
    let served = CALLS - rejected.len();
    assert_eq!(target.requests().len(), served);
    let usage = gateway.proxy.quotas.borrow_mut().usage(Instant::now());
    assert_eq!(
        usage[&key("hot")].used,
        served as u64 * 100,
        "rejected ones are refunded"
    );
    let text = gateway.proxy.metrics.text();
    let counted = format!(
        "shares_exceeded_total{{account=\"hot\"}} {}",
        rejected.len()
    );
    assert!(text.contains(&counted), "{text}");
    let logged = lines(&["event=share-exceeded", "account=hot"]);
    assert_eq!(logged.len(), rejected.len());
    for field in [" level=", " demand=", " age_ms=", " part="] {
        assert!(logged.iter().all(|line| line.contains(field)), "{logged:?}");
    }
    let responses = calls(&gateway, SMALL).await;
    assert!(responses.iter().all(|response| response.status == 200));
}

async fn serves_all(has_shares: bool, age: Option<Duration>) {
    let target = Target::responding_with("fine").await;
    let gateway = gateway(has_shares, &[&target], age).await;
    let responses = calls(&gateway, HOT).await;
    assert!(responses.iter().all(|response| response.status == 200));
}

async fn counts_rejections_for_lack_of_room() {
    for has_shares in [true, false] {
        let gateway = gateway(has_shares, &[], Some(Duration::from_secs(1))).await;
        let before = gateway.proxy.shares.borrow_mut().pressure(Instant::now());
        // The counts of the beginning leave the window.
        let later = Instant::now() + Duration::from_secs(3);
        assert!(gateway.proxy.shares.borrow_mut().pressure(later).rejected <= 0.0);
        assert!(before.rejected > 0.0);
        let responses = calls(&gateway, SMALL).await;
        assert!(responses.iter().all(|response| response.status == 503));
        let after = gateway.proxy.shares.borrow_mut().pressure(Instant::now());
        assert_eq!(after.rejected >= 1.0, has_shares, "{after:?}");
    }
}

cases! {
    requests_above_their_accounts_share_are_rejected => rejects_above_the_share(),
    /// Guards against a change of behaviour where shares are off.
    without_the_part_all_are_admitted => serves_all(false, Some(Duration::ZERO)),
    /// Guards against shares by totals that no longer hold, such as after all collectors were lost.
    old_totals_decide_nothing => serves_all(true, Some(Duration::from_millis(800))),
    /// Guards against shares of an instance that has just started.
    missing_totals_decide_nothing => serves_all(true, None),
    lack_of_room_is_counted_where_shares_are_on => counts_rejections_for_lack_of_room(),
}
