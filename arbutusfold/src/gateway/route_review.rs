//! Review of routes: those that never match, and limits that are never reached.

use arbutusfold_platform::document;

use crate::check;
use crate::gateway::{forward, request, review};

/// Adds what is wrong with the routes of a document.
pub(super) fn check(document: &document::RoutingDocument, review: &mut review::DocumentReview) {
    let routes = &document.routes;
    for (index, first) in review::repeated(routes.iter().map(|rule| &rule.name)) {
        let place = format!("routes[{index}]");
        match routes[index].name.is_empty() {
            true => review.warn(
                &place,
                "name_missing",
                format_args!("learns lengths of answers together with routes[{first}], which has no name either"),
            ),
            false => review.warn(
                &place,
                "name_shared",
                format_args!(
                    "learns lengths of answers together with routes[{first}], also named {}",
                    check::quote(&routes[index].name)
                ),
            ),
        }
    }
    for (index, first) in review::repeated(routes.iter().map(|rule| (&rule.host, &rule.prefix))) {
        review.warn(
            &format!("routes[{index}]"),
            "route_hidden",
            format_args!(
                "route {} never matches: routes[{first}] {} has the same host and prefix",
                check::quote(&routes[index].name),
                check::quote(&routes[first].name)
            ),
        );
    }
    let mut names: Vec<_> = document.services.iter().map(|spec| &spec.name).collect();
    names.sort_unstable();
    let organisations = document.organisations.as_ref();
    let has_keys = organisations.map(|list| list.iter().any(|spec| !spec.keys.is_empty()));
    for (index, rule) in routes.iter().enumerate() {
        let place = format!("routes[{index}]");
        check_match(rule, &place, review);
        check_times(rule, &place, review);
        check_shares(rule, &names, &place, review);
        check_attempts(rule, &place, review);
        match has_keys {
            None if rule.public => review.warn(
                &place,
                "public_without_effect",
                format_args!("the route is public, but no route needs a key"),
            ),
            Some(false) if !rule.public => review.error(
                &place,
                "no_key_exists",
                format_args!("the route needs a key, but no organisation has one"),
            ),
            _ => {}
        }
    }
}

/// Checks whether a request can have the host and path of a route.
fn check_match(rule: &document::RouteRule, place: &str, review: &mut review::DocumentReview) {
    let host = rule.host.as_str();
    if host.is_empty() {
        let message = format_args!("only requests without a host match the empty host");
        review.warn(&place, "host_empty", message);
    } else if host.contains(':') {
        let message = format_args!(
            "host {} never matches: hosts are compared without a port",
            check::quote(host)
        );
        review.warn(&place, "host_with_port", message);
    } else if !review::is_header_text(host) {
        let message = format_args!(
            "host {} never matches: no request can name it",
            check::quote(host)
        );
        review.warn(&place, "host_unmatchable", message);
    } else if host.contains('*') {
        let message = format_args!(
            "host {} is compared letter by letter: a * stands for nothing else",
            check::quote(host)
        );
        review.warn(&place, "host_wildcard", message);
    }
    let path = http::uri::PathAndQuery::try_from(rule.prefix.as_str());
    if !path.is_ok_and(|path| path.path() == rule.prefix) {
        let message = format_args!(
            "prefix {} never matches: no request's path can hold it",
            check::quote(&rule.prefix)
        );
        review.warn(&place, "prefix_unmatchable", message);
    }
}

fn check_times(rule: &document::RouteRule, place: &str, review: &mut review::DocumentReview) {
    let timeout = rule.timeout;
    if timeout <= forward::RESPONSE_MARGIN {
        let message = format_args!(
            "a timeout of {timeout:?} leaves no time: {:?} are kept for sending the answer",
            forward::RESPONSE_MARGIN
        );
        review.error(&place, "timeout_too_short", message);
    }
    let objectives = [
        ("objective", rule.objective),
        ("gap objective", rule.gap_objective),
    ];
    for (name, objective) in objectives {
        let Some(objective) = objective else { continue };
        if objective.is_zero() {
            let message = format_args!("no answer can meet a {name} of 0");
            review.warn(&place, "objective_zero", message);
        } else if objective > timeout {
            let message = format_args!(
                "the {name} of {objective:?} is never reached: the timeout is {timeout:?}"
            );
            review.warn(&place, "objective_over_timeout", message);
        }
    }
}

fn check_shares(
    rule: &document::RouteRule,
    names: &[&String],
    place: &str,
    review: &mut review::DocumentReview,
) {
    let shares = &rule.services;
    for (index, first) in review::repeated(shares.iter().map(|share| &share.service)) {
        let message = format_args!(
            "the weight adds to that of services[{first}], the same service {}",
            check::quote(&shares[index].service)
        );
        review.warn(
            &format!("{place}.services[{index}]"),
            "share_twice",
            message,
        );
    }
    for (index, share) in shares.iter().enumerate() {
        let place = format!("{place}.services[{index}]");
        let name = check::quote(&share.service);
        if share.weight > 0.0 && names.binary_search(&&share.service).is_err() {
            let message = format_args!("there is no service {name}");
            review.error(&place, "service_unknown", message);
        }
        if share.weight <= 0.0 {
            let message = format_args!("service {name} gets no requests: its weight is 0 or less");
            review.warn(&place, "share_zero", message);
        }
    }
    let total: f64 = shares.iter().map(|share| share.weight).sum();
    if total <= 0.0 {
        let message = format_args!("no service gets requests of the route");
        review.error(&place, "no_share", message);
    } else if !total.is_finite() {
        let message =
            format_args!("the sum of the weights is too large: the last service gets all requests");
        review.warn(&place, "shares_overflow", message);
    }
}

fn check_attempts(rule: &document::RouteRule, place: &str, review: &mut review::DocumentReview) {
    let is_streaming = rule.kind == document::RouteKind::Streaming;
    if rule.resumable && !is_streaming {
        let message = format_args!("only streams are resumed; the route has none");
        review.warn(&place, "resumable_without_stream", message);
    }
    let is_repeatable = match rule.kind {
        document::RouteKind::Idempotent => true,
        document::RouteKind::NonIdempotent => false,
        document::RouteKind::Streaming => rule.resumable,
    };
    let attempts = rule.max_attempts;
    if attempts > 1 && !is_repeatable {
        let message =
            format_args!("{attempts} attempts are never made: a request of the route runs once");
        review.warn(&place, "attempts_without_effect", message);
    } else if attempts > request::ATTEMPT_LIMIT {
        let limit = request::ATTEMPT_LIMIT;
        let message = format_args!("{attempts} attempts are never made: the most is {limit}");
        review.warn(&place, "attempts_over_limit", message);
    }
    review::check_priority(rule.priority, place, review);
}
