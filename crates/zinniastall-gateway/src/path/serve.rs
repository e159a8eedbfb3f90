//! Connections of callers, and of instances that pass requests on.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::header::EXPECT;
use rand::Rng;
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use zinniastall_coord::quarantine::CRASH_LIMIT;
use zinniastall_http::{
    body::Decoder,
    connection::{self, Error, Reader},
    head::{self, Request},
};
use zinniastall_model::routing::Limits;

use super::{
    Traffic,
    answer::{Outcome, Refusal},
    client::Client,
    job::{Job, Judged, number, text},
    run,
};
use crate::{decide::quota::Claim, request_log::End, tracker::Demand, view::Drain};

/// Pause after a failed accept: out of descriptors, most likely, and a loop would spin.
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which a connection is still read after its last answer. Closing it with unread bytes
/// resets it, and the reset can overtake the answer.
const LINGER: Duration = Duration::from_secs(1);
/// Time that a caller's connection may rest while this instance drains. Requests already on their way
/// arrive within it.
const DRAINING_REST: Duration = Duration::from_millis(1_500);
/// Time after the order to stop within which callers come who can't know of it: they keep an address
/// for two seconds, and news of the order takes up to half a second.
const UNAWARE: Duration = Duration::from_millis(2_800);
/// Time after which a request comes back that was refused because this instance ends; any other one
/// takes it at once.
const AFTER_END: Duration = Duration::from_millis(50);
/// Longest time for which a request is kept until this instance knows routes: after a loss of all
/// power a leader is chosen and has committed within it.
const STARTING: Duration = Duration::from_millis(1_200);
/// Time between two looks at whether routes are known.
const STARTING_LOOK: Duration = Duration::from_millis(30);
/// Time between two looks at whether this instance drains.
const LOOK: Duration = Duration::from_millis(250);

/// Counts of open connections and of requests in progress.
#[derive(Debug, Default)]
pub struct Connections {
    open: Cell<usize>,
    requests: Cell<usize>,
}

impl Connections {
    /// Returns the connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the requests in progress.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }
}

/// Adds one to a count for as long as it lives.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections for ever; `from_instances` tells that instances pass requests on here.
pub async fn accept(traffic: Rc<Traffic>, listener: TcpListener, from_instances: bool) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let traffic = Rc::clone(&traffic);
                tokio::task::spawn_local(async move {
                    if let Err(error) = traffic.attend(stream, from_instances).await {
                        tracing::debug!(event = "caller-gone", error = %error);
                    }
                });
            }
            Err(error) => {
                tracing::error!(event = "accept-failed", error = %error);
                time::sleep(PAUSE).await;
            }
        }
    }
}

impl Traffic {
    async fn attend(&self, stream: TcpStream, from_instances: bool) -> Result<(), Error> {
        let _counted = Counted::new(&self.connections.open);
        let (mut reader, writer) = connection::split(stream)?;
        let mut client = Client::new(writer, from_instances);
        while self.next(&mut reader, &mut client, from_instances).await? {
            reader.rest();
        }
        client.finish().await?;
        let rest =
            async { while reader.first_byte().await.is_ok_and(|any| any) && reader.skip() {} };
        // Whoever goes on sending is cut off after that.
        let _ = time::timeout(LINGER, rest).await;
        Ok(())
    }

    /// Serves the next request of a connection; tells whether another one may follow.
    async fn next(
        &self,
        reader: &mut Reader,
        client: &mut Client,
        from_instances: bool,
    ) -> Result<bool, Error> {
        client.next(true, true);
        let limits = self.limits();
        if !self.wait_for_first(reader, &limits).await? {
            return Ok(false);
        }
        let _counted = Counted::new(&self.connections.requests);
        let arriving = Duration::from_millis(limits.head_ms);
        let read = time::timeout(arriving, reader.head::<Request>(limits.head_bytes)).await;
        let head = match read {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return Ok(false),
            Ok(Err(error)) => return self.refuse("", client, unreadable(&error)).await,
            Err(_) => return self.refuse("", client, Refusal::Slow).await,
        };
        let arrived = Instant::now();
        let id = text(&head.headers, &self.names.request_id);
        let id = id.unwrap_or_default().to_owned();
        client.next(
            head.is_modern,
            head.keeps_open() && !self.board.is_draining(),
        );
        let body = match self.body(&head, reader, client, &limits).await {
            Ok(body) => body,
            Err(Stop::Refused(refusal)) => return self.refuse(&id, client, refusal).await,
            Err(Stop::Failed(error)) => return Err(error),
        };
        let judged = self.judge(&head, arrived, from_instances).await;
        let job = judged.and_then(|judged| judged.job(&self.names, head, body, arrived));
        match job {
            Ok(job) => self.serve(&job, reader, client).await,
            Err(refusal) => {
                self.note_refusal(&id, refusal);
                client.refuse(refusal, None).await?;
                Ok(client.keeps_open())
            }
        }
    }

    /// Judges a request. One that comes before this instance knows any routes is kept for as long as
    /// those mostly take; sent away, it would find most other instances starting as well.
    async fn judge(
        &self,
        head: &Request,
        arrived: Instant,
        from_instances: bool,
    ) -> Result<Judged, Refusal> {
        let left = number(&head.headers, &self.names.deadline_ms).map(Duration::from_millis);
        let longest = left.map_or(STARTING, |left| (left / 4).min(STARTING));
        loop {
            // The view is read after the lease: it is at least as new as the one that the lease is for.
            let trust = self.board.trust();
            let judged = Judged::new(&self.board.view(), trust, head, from_instances);
            let waits = matches!(judged, Err(Refusal::Unconfigured));
            if !waits || arrived.elapsed() >= longest {
                return judged;
            }
            time::sleep(STARTING_LOOK).await;
        }
    }

    /// Serves a request, unless its sender leaves meanwhile.
    async fn serve(
        &self,
        job: &Job,
        reader: &mut Reader,
        client: &mut Client,
    ) -> Result<bool, Error> {
        self.enter(job);
        self.hear_kept();
        if job.is_passed_on {
            self.hear_suspicion(job, &job.head.headers);
        }
        if let Err((refusal, why)) = self.admit(job) {
            let suspicion = self.suspicion(job);
            client.refuse(refusal, suspicion.as_ref()).await?;
            self.note_end(job, client, refusal.outcome().word(), why);
            return Ok(client.keeps_open());
        }
        let ended = tokio::select! {
            biased;
            ended = self.run(job, client) => ended?,
            // Dropping the attempt closes its connection, which is how the target learns of it.
            () = reader.closed() => {
                self.note_end(job, client, "left", "the caller closed the connection");
                return Ok(false);
            }
        };
        match ended {
            run::End::Answered => self.note_end(job, client, "answered", ""),
            run::End::Refused(refusal) => {
                self.give_back(job, refusal.outcome());
                self.note_end(job, client, refusal.outcome().word(), refusal.word());
            }
            run::End::Aborted(why) => {
                self.note_end(job, client, "aborted", &why);
                return Err(Error::Ended);
            }
        }
        // An answer that said the connection stays open is kept to, also where this instance has begun to
        // drain meanwhile: the caller may have sent its next request already.
        Ok(client.keeps_open())
    }

    /// Tells whether a request may be placed, or why it is refused before that.
    fn admit(&self, job: &Job) -> Result<(), (Refusal, &'static str)> {
        if self.is_too_late(job) {
            return Err((
                Refusal::Busy(AFTER_END),
                "this instance ends before it could",
            ));
        }
        if self.crashes(job) >= CRASH_LIMIT {
            self.note_rejected(job);
            return Err((Refusal::Quarantined, "targets crash under it"));
        }
        // The instance to which its caller came has counted it already.
        let Some(charge) = job.charge().filter(|_| !job.is_passed_on) else {
            return Ok(());
        };
        let claim = Claim {
            cost: charge.cost,
            draw: rand::rng().random(),
        };
        let mut quotas = self.quotas.borrow_mut();
        let admitted = quotas.admit(charge.account, &charge.quota, claim, job.arrived);
        let account = job.account().map_or("", |account| account.name.as_str());
        self.figures
            .count_units(account, charge.cost, admitted.is_ok());
        admitted.map_err(|excess| {
            self.journal.exceeded(job, charge, excess);
            (
                Refusal::Exceeded(excess.after),
                "beyond its account's quota",
            )
        })
    }

    /// Gives back what a request was let in for that has not run.
    fn give_back(&self, job: &Job, outcome: Outcome) {
        if outcome == Outcome::Unknown || job.is_passed_on {
            return;
        }
        if let Some(charge) = job.charge() {
            let mut quotas = self.quotas.borrow_mut();
            quotas.give_back(charge.account, charge.cost, Instant::now());
        }
    }

    /// Enters a request into the books.
    fn enter(&self, job: &Job) {
        let mut books = self.books.borrow_mut();
        let asked = Demand {
            priority: job.priority(),
            route_priority: job.route().priority,
            gap_ms: job.route().gap_ms,
        };
        books.record_demand(&job.service, asked, job.arrived);
        // The instance to which its caller came has counted it already.
        if !job.is_passed_on {
            books.budget(&job.service).request(job.arrived);
        }
    }

    /// Refuses a request that can't be read; what follows on its connection can't be trusted either.
    async fn refuse(&self, id: &str, client: &mut Client, refusal: Refusal) -> Result<bool, Error> {
        self.note_refusal(id, refusal);
        client.next(true, false);
        client.refuse(refusal, None).await?;
        Ok(false)
    }

    /// Notes that a request was refused before it was judged.
    fn note_refusal(&self, id: &str, refusal: Refusal) {
        self.journal.refused(id, refusal.word());
        let end = End::untimed(refusal.outcome().word());
        self.figures.count_request("", &end);
    }

    /// Notes how a request ended.
    fn note_end(&self, job: &Job, client: &Client, outcome: &'static str, why: &str) {
        let status = client.status().map_or(0, |status| status.as_u16());
        let first = client
            .begun()
            .map(|begun| begun.duration_since(job.arrived));
        let end = End {
            outcome,
            reason: why,
            status,
            first_byte: first,
            longest_gap: client.pause(),
            duration: job.arrived.elapsed(),
        };
        self.journal.ended(job, &end);
        self.figures.count_request(&job.route().name, &end);
    }

    /// Tells whether a request might outlast this instance, which drains.
    ///
    /// It would be cut in the middle of its answer; told at once, its caller finds another instance. Who
    /// comes right after the order to stop could not know, and is served as far as time goes.
    fn is_too_late(&self, job: &Job) -> bool {
        let late = |drain: Drain| job.arrived > drain.since + UNAWARE && job.deadline > drain.end;
        self.board.draining().is_some_and(late)
    }

    /// Waits for the first byte of a request; a connection that rests while this instance drains is
    /// let go.
    async fn wait_for_first(&self, reader: &mut Reader, limits: &Limits) -> Result<bool, Error> {
        let since = Instant::now();
        let idle = Duration::from_millis(limits.idle_ms);
        loop {
            let looked = time::timeout(LOOK, reader.first_byte()).await;
            if let Ok(any) = looked {
                return Ok(any?);
            }
            let rest = if self.board.is_draining() {
                DRAINING_REST
            } else {
                idle
            };
            if since.elapsed() >= rest {
                return Ok(false);
            }
        }
    }

    async fn body(
        &self,
        head: &Request,
        reader: &mut Reader,
        client: &mut Client,
        limits: &Limits,
    ) -> Result<Bytes, Stop> {
        let framing = head
            .framing()
            .map_err(|_| Stop::Refused(Refusal::Malformed))?;
        let mut decoder = Decoder::new(framing);
        if decoder.is_done() {
            return Ok(Bytes::new());
        }
        if head.headers.contains_key(EXPECT) {
            client
                .go_on()
                .await
                .map_err(|error| Stop::Failed(error.into()))?;
        }
        let mut body = BytesMut::new();
        let idle = Duration::from_millis(limits.idle_ms);
        loop {
            let piece = time::timeout(idle, reader.piece(&mut decoder)).await;
            let piece = piece.map_err(|_| Stop::Refused(Refusal::Slow))?;
            match piece {
                Ok(Some(piece)) if body.len() + piece.len() > limits.body_bytes => {
                    return Err(Stop::Refused(Refusal::LongBody));
                }
                Ok(Some(piece)) => body.extend_from_slice(&piece),
                Ok(None) => return Ok(body.freeze()),
                Err(Error::Body(zinniastall_http::body::Fault::Chunk)) => {
                    return Err(Stop::Refused(Refusal::Malformed));
                }
                Err(error) => return Err(Stop::Failed(error)),
            }
        }
    }

    fn limits(&self) -> Limits {
        let view = self.board.view();
        let limits = view.table().map(|table| table.limits.clone());
        limits.unwrap_or_default()
    }
}

/// Why a body was not read.
enum Stop {
    Refused(Refusal),
    Failed(Error),
}

const fn unreadable(error: &Error) -> Refusal {
    match error {
        Error::Head(head::Fault::Long) => Refusal::LongHead,
        _ => Refusal::Malformed,
    }
}
