//! The attempts of one request, until it has its one final answer.

use std::{
    cell::Cell,
    io,
    time::{Duration, Instant},
};

use tokio::time;
use zinniastall_coord::quarantine::STRONG_SUSPECT_CRASHES;
use zinniastall_http::server::Reply;

use super::{
    Traffic,
    answer::Refusal,
    attempt::{Attempt, Ended, Place},
    client::Client,
    crash::Clearance,
    events::Events,
    job::{Job, text},
    placing::{Next, Tried},
};
use crate::{freshness::Trust, headers::LAST_EVENT_ID};

/// Places that can't be reached before a request is given up: each costs a time-out of connecting.
const UNREACHABLE: usize = 4;
/// Time after which a request comes back that a target refused: about what a place at a full one takes
/// to come free.
const AFTER_REFUSAL: Duration = Duration::from_millis(300);

/// Time after which a request comes back that found the configuration out of date before it was sent.
const STALE: Duration = Duration::from_millis(400);

/// Time between two looks for a place at which a broken stream may go on, and the longest time for
/// which one is looked for: callers leave a stream after a pause of two seconds.
const GOING_ON: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(1_500));
/// Time for which a target gets nothing after it refused a request or a connection: a full one finishes
/// some requests in it, and a crashed one costs one attempt each time.
const SHUT: Duration = Duration::from_millis(120);

/// Time between two looks at whether a strong suspect may be sent, and time after which it comes back where another
/// copy of it has not ended meanwhile: most requests finish within it.
const HELD: (Duration, Duration) = (Duration::from_millis(30), Duration::from_secs(1));
/// Part of the objective for which a suspect waits for the end of another copy.
const HELD_PART: f64 = 0.5;

/// How a request ended.
#[derive(Debug)]
pub enum End {
    /// A target's answer was handed over whole.
    Answered,
    /// The gateway gave an answer of its own.
    Refused(Refusal),
    /// The answer was broken off, so that it doesn't look whole.
    Aborted(String),
}

/// What is known of a request between two attempts.
struct Course<'a> {
    job: &'a Job,
    tried: Tried,
    sent: u32,
    unreachable: usize,
    /// Whether an attempt may have run it.
    may_have_run: &'a Cell<bool>,
    is_kept: bool,
    broken: Option<Instant>,
    /// Whether a target crashed under it.
    has_crashed: bool,
    failing: Option<Reply>,
}

/// What follows from an attempt.
enum Step {
    Again,
    End(End),
    /// Ends with this refusal, or with a target's own failure if one is at hand.
    Give(Refusal),
}

impl Traffic {
    /// Serves a request until it has its final answer, within its time.
    ///
    /// # Errors
    ///
    /// Fails when nobody takes the answer any more.
    pub async fn run(&self, job: &Job, client: &mut Client) -> io::Result<End> {
        let may_have_run = Cell::new(false);
        let attempts = self.attempts(job, client, &may_have_run);
        let ended = time::timeout_at(job.deadline.into(), attempts).await;
        if let Ok(ended) = ended {
            return ended;
        }
        if client.has_begun() {
            return Ok(End::Aborted("out of time".to_owned()));
        }
        let refusal = if may_have_run.get() {
            Refusal::Late
        } else {
            Refusal::Busy(AFTER_REFUSAL)
        };
        client.refuse(refusal, None).await?;
        Ok(End::Refused(refusal))
    }

    async fn attempts(
        &self,
        job: &Job,
        client: &mut Client,
        may_have_run: &Cell<bool>,
    ) -> io::Result<End> {
        let first = text(&job.head.headers, &LAST_EVENT_ID).map(str::to_owned);
        let mut events = Events::after(first);
        let mut course = Course {
            job,
            tried: Tried::default(),
            sent: 0,
            unreachable: 0,
            may_have_run,
            is_kept: false,
            broken: None,
            has_crashed: false,
            failing: None,
        };
        loop {
            let step = match self.clearance(job) {
                Clearance::Granted(_probe) => self.step(&mut course, &mut events, client).await?,
                Clearance::Held if course.may_be_held() => {
                    time::sleep(HELD.0).await;
                    Step::Again
                }
                Clearance::Held => course.nowhere(client, HELD.1),
                Clearance::Refused => {
                    let step = course.quarantined(client);
                    if matches!(step, Step::Give(Refusal::Quarantined)) {
                        self.note_rejected(job);
                    }
                    step
                }
            };
            match step {
                Step::Again => {}
                Step::End(end) => return Ok(end),
                Step::Give(refusal) => return self.give(course, refusal, client).await,
            }
        }
    }

    /// Places a request and sends it, or finds out that there is no place for it now.
    async fn step(
        &self,
        course: &mut Course<'_>,
        events: &mut Events,
        client: &mut Client,
    ) -> io::Result<Step> {
        let job = course.job;
        Ok(match self.place(job, &course.tried).await {
            Next::Wait(after) => {
                if !course.is_kept {
                    course.is_kept = true;
                    self.journal.kept(job, "no target takes one now");
                }
                time::sleep(after).await;
                Step::Again
            }
            Next::Refuse(..) if course.may_go_on(client) => {
                time::sleep(GOING_ON.0).await;
                Step::Again
            }
            Next::Refuse(after, basis) => {
                self.journal.given_up(job, basis, after);
                course.nowhere(client, after)
            }
            // A key may have been taken away while the request waited.
            Next::Go(..) if !self.is_trusted(job) => course.nowhere(client, STALE),
            Next::Go(place, reading_us, basis) => {
                self.journal.placed(job, &place, basis, course.sent);
                let attempt = Attempt {
                    job,
                    place: &place,
                    reading_us,
                    ahead: basis.in_flight,
                    may_have_run: course.may_have_run,
                };
                let before = self.crashes(job);
                let ended = self.attempt(&attempt, events, client).await;
                let has_crashed = self.learn(&attempt, &ended, before, client).await;
                course.has_crashed |= has_crashed;
                self.note(&attempt, &ended, has_crashed);
                self.follow_up(course, &place, ended, client)?
            }
        })
    }

    /// Gives the final answer, unless a stream has begun: behind its events another answer would be garbage that
    /// the caller takes for a part of it.
    async fn give(
        &self,
        course: Course<'_>,
        refusal: Refusal,
        client: &mut Client,
    ) -> io::Result<End> {
        if client.has_begun() {
            return Ok(End::Aborted(refusal.word().to_owned()));
        }
        if let Some(answer) = course.failing {
            client.answer(answer).await?;
            return Ok(End::Answered);
        }
        let suspicion = self.suspicion(course.job);
        client.refuse(refusal, suspicion.as_ref()).await?;
        Ok(End::Refused(refusal))
    }

    /// Decides what follows from an attempt.
    fn follow_up(
        &self,
        course: &mut Course<'_>,
        place: &Place,
        ended: Ended,
        client: &Client,
    ) -> io::Result<Step> {
        course.tried.add(place.name());
        let job = course.job;
        Ok(match ended {
            Ended::Delivered => Step::End(End::Answered),
            Ended::Gone(error) => return Err(error),
            Ended::NotSent(_) => {
                course.unreachable += 1;
                if course.unreachable < UNREACHABLE {
                    Step::Again
                } else {
                    course.nowhere(client, AFTER_REFUSAL)
                }
            }
            Ended::NotRun(after) => {
                course.sent += 1;
                if self.may_repeat(course) {
                    Step::Again
                } else {
                    course.nowhere(client, after.unwrap_or(AFTER_REFUSAL))
                }
            }
            Ended::Failing(answer) => {
                course.sent += 1;
                course.failing = Some(answer);
                if self.may_repeat(course) {
                    Step::Again
                } else {
                    Step::Give(Refusal::Lost)
                }
            }
            Ended::Unknown(_) => {
                course.sent += 1;
                if job.route().repeats() && self.may_repeat(course) {
                    Step::Again
                } else {
                    Step::Give(Refusal::Lost)
                }
            }
            Ended::Torn(why) => Step::End(End::Aborted(why)),
            Ended::Broken(why) => {
                course.sent += 1;
                course.broken = Some(Instant::now());
                if job.route().resumable && self.may_repeat(course) {
                    Step::Again
                } else {
                    Step::End(End::Aborted(why))
                }
            }
        })
    }

    /// Tells whether a request may be sent once more, and takes that out of the budget.
    fn may_repeat(&self, course: &Course<'_>) -> bool {
        let job = course.job;
        if job.is_passed_on || course.sent >= job.route().attempts {
            return false;
        }
        // A suspect that comes again is tried alone; here it would take the next target down at once.
        if course.has_crashed && self.crashes(job) >= STRONG_SUSPECT_CRASHES {
            return false;
        }
        let instances = self.board.view().instances.by_name().len();
        let mut books = self.books.borrow_mut();
        books.budget(&job.service).repeat(Instant::now(), instances)
    }

    /// Tells whether a request may still be sent by the accounts known here. One that was passed on was judged
    /// where its caller is.
    fn is_trusted(&self, job: &Job) -> bool {
        job.is_passed_on || job.account().is_none() || self.board.trust() == Trust::Fresh
    }

    /// Notes what an attempt says of its target; `has_crashed` tells that a target crashed under the request.
    fn note(&self, attempt: &Attempt<'_>, ended: &Ended, has_crashed: bool) {
        let (job, place) = (attempt.job, attempt.place);
        self.journal.attempted(job, place, ended);
        self.figures.count_attempt(ended.word());
        let now = Instant::now();
        let service = match place {
            Place::Target { .. } => job.service.as_str(),
            Place::Instance { .. } => "",
        };
        let mut books = self.books.borrow_mut();
        let account = books.target(place.name(), service, now);
        let was_out = account.record.is_out(now);
        if let Place::Target { slots, .. } = place {
            match ended {
                Ended::Delivered => account.concurrency.taken(attempt.ahead),
                Ended::NotRun(_) => account.concurrency.refused(attempt.ahead, *slots),
                _ => {}
            }
        }
        match ended {
            Ended::Delivered => account.record.success(),
            Ended::NotSent(_) => {
                account.record.unreachable(now);
                account.blocked_until = Some(now + SHUT);
                if let Place::Instance { region, .. } = place {
                    books.block_region(region, &job.service, now + SHUT);
                }
                return;
            }
            Ended::NotRun(_) => account.blocked_until = Some(now + SHUT),
            // It refuses connections by now; an instance that passed the request on does not.
            _ if has_crashed && matches!(place, Place::Target { .. }) => {
                account.record.unreachable(now);
                account.blocked_until = Some(now + SHUT);
            }
            Ended::Unknown(_) | Ended::Broken(_) | Ended::Torn(_) | Ended::Failing(_) => {
                account.record.failure(now);
            }
            Ended::Gone(_) => {}
        }
        if account.record.is_out(now) && !was_out {
            tracing::info!(
                event = "target-out",
                target = place.name(),
                why = ended.word()
            );
        }
    }
}

impl Course<'_> {
    /// Tells whether a stream that was broken off may still go on elsewhere.
    fn may_go_on(&self, client: &Client) -> bool {
        let in_time = |broken: Instant| broken.elapsed() < GOING_ON.1;
        client.has_begun() && self.broken.is_some_and(in_time)
    }

    /// Tells whether a suspect may still wait for the end of another copy of it.
    fn may_be_held(&self) -> bool {
        let objective = Duration::from_millis(self.job.route().objective_ms);
        self.job.arrived.elapsed() < objective.mul_f64(HELD_PART)
    }

    /// Ends a request that is not run any more.
    fn quarantined(&self, client: &Client) -> Step {
        if client.has_begun() {
            return Step::End(End::Aborted(Refusal::Quarantined.word().to_owned()));
        }
        if self.may_have_run.get() {
            return Step::Give(Refusal::Lost);
        }
        Step::Give(Refusal::Quarantined)
    }

    /// Ends a request for which there is no place now.
    fn nowhere(&self, client: &Client, after: Duration) -> Step {
        if client.has_begun() {
            return Step::End(End::Aborted("no place to go on".to_owned()));
        }
        if self.may_have_run.get() {
            return Step::Give(Refusal::Lost);
        }
        if self.sent > 0 {
            return Step::Give(Refusal::Refused(after));
        }
        Step::Give(Refusal::Busy(after))
    }
}
