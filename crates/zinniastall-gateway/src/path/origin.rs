//! What a request's placement must satisfy, so that a stream goes on only at the version that began it.

use http::{HeaderMap, HeaderValue};
use zinniastall_coord::origin::{Found, Key, Origin, Requirement};
use zinniastall_http::head::Response;

use super::{
    Proxy,
    attempt::{Attempt, Place},
    job::{Continuation, Job},
};
use crate::{
    headers::{ORIGIN, REQUIRES},
    origins::{beginning, sole_version},
    view::View,
};

impl Proxy {
    /// Returns the requirement of a request that continues a stream; `None` if it begins.
    pub(super) async fn continuing(&self, job: &Job) -> Option<Requirement> {
        if !job.is_stream() {
            return None;
        }
        if let Some(stated) = job.head.headers.get(REQUIRES).filter(|_| job.is_passed_on) {
            return Some(Requirement::continuing(read(stated)));
        }
        let (found, source) = match &job.continuation {
            Continuation::None => return None,
            Continuation::Unnamed => (Found::Nothing, "no-name"),
            Continuation::Of(id) => self.find(job, id).await,
        };
        let requirement = match found {
            Found::Origin(origin) => Requirement::Origin(origin),
            Found::Disputed => Requirement::Unknown,
            Found::Nothing => Requirement::continuing(self.sole_origin(job)),
        };
        self.request_log.taken_up(job, &requirement, source);
        Some(requirement)
    }

    /// Looks up what began a stream: here, or at others unless all streams began at one version.
    async fn find(&self, job: &Job, id: &str) -> (Found, &'static str) {
        let key = Key::of(id);
        let own = self.origins.find(&key);
        if own != Found::Nothing {
            return (own, "here");
        }
        if self.sole_origin(job).is_some() {
            return (Found::Nothing, "sole");
        }
        let view = self.state.view();
        (self.origins.ask(&view, &key).await, "asked")
    }

    /// Returns the origin of all streams that a request could continue, if they have only one.
    fn sole_origin(&self, job: &Job) -> Option<Origin> {
        let is_split = job.route().split.len() > 1;
        if is_split && job.continuation == Continuation::Unnamed {
            return None;
        }
        let version = sole_version(&self.state, &job.service)?;
        Origin::new(&job.service, Some(&version))
    }

    /// Returns the requirement of a request that begins.
    pub(super) fn beginning(&self, job: &Job) -> Requirement {
        if !job.is_stream() {
            return Requirement::Any;
        }
        beginning(&self.state.view(), &job.service)
    }

    /// Returns whether any target that the request may reach satisfies the requirement.
    pub(super) fn is_served(job: &Job, requirement: &Requirement, view: &View) -> bool {
        let regions = view.targets.regions(&job.service);
        let mut regions = regions.filter(|region| {
            job.permits(region) && (!job.is_passed_on || **region == view.place.region)
        });
        regions.any(|region| {
            let mut targets = view.targets.of(&job.service, region);
            targets.any(|target| requirement.admits(&job.service, target.report.version.as_deref()))
        })
    }

    /// Returns whether targets of this region may not go on with a stream because of their version.
    pub(super) fn excludes_targets(&self, job: &Job, requirement: &Requirement) -> bool {
        let view = self.state.view();
        let mut targets = view.targets.of(&job.service, &view.place.region);
        requirement.is_continuing()
            && targets
                .any(|target| !requirement.admits(&job.service, target.report.version.as_deref()))
    }

    /// Returns what wrote an answer: the target's version, or what the instance that placed the
    /// request states.
    pub(super) fn origin(attempt: &Attempt<'_>, response: &Response) -> Option<Origin> {
        match attempt.place {
            Place::Target { version, .. } => Origin::new(&attempt.job.service, version.as_deref()),
            Place::Instance { .. } => read(response.headers.get(ORIGIN)?),
        }
    }

    /// Records that the first event of a stream is about to be forwarded.
    pub(super) fn began(&self, attempt: &Attempt<'_>, origin: Option<&Origin>) {
        let job = attempt.job;
        let known = origin.cloned().or_else(|| self.sole_origin(job));
        *attempt.began.borrow_mut() = Some(Requirement::continuing(known));
        // The instance that the caller connected to records what the caller received.
        let id = job.resumes().unwrap_or(&job.id);
        let Some(origin) = origin.filter(|_| !job.is_passed_on && !id.is_empty()) else {
            return;
        };
        let key = Key::of(id);
        self.origins.insert(&self.state, key, origin, job.patience);
        if let Place::Target {
            target,
            incarnation,
            ..
        } = attempt.place
        {
            self.origins.watch(key, target, *incarnation, job.patience);
        }
    }
}

/// Sets the field that states an origin to another instance.
pub(super) fn state(headers: &mut HeaderMap, name: http::HeaderName, origin: Option<&Origin>) {
    let text = origin.and_then(|origin| serde_json::to_string(origin).ok());
    let value = text.and_then(|text| HeaderValue::try_from(text).ok());
    headers.extend(value.map(|value| (name, value)));
}

fn read(value: &HeaderValue) -> Option<Origin> {
    serde_json::from_slice(value.as_bytes()).ok()
}
