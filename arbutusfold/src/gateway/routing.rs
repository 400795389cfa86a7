//! Look-up of the route and the organisation of a request.

use arbutusfold_platform::document;

use crate::gateway::demand;
use crate::id;

/// Priorities that a rank tells apart, both of organisations and of routes; larger ones
/// count as the last of them. All ranks then fit the byte that nodes exchange.
const PRIORITY_COUNT: u8 = 16;

/// An API key with the index of its organisation.
#[derive(Clone, Debug)]
struct KeyOwner {
    key: String,
    organisation: usize,
}

/// The operator's document, indexed for look-ups.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    version: id::DocumentVersion,
    /// Routes sorted by host, then by descending length of the prefix.
    routes: Vec<document::RouteRule>,
    /// Services sorted by name.
    services: Vec<document::ServiceSpec>,
    /// `None` if requests need no key.
    organisations: Option<Vec<document::OrganisationKeys>>,
    /// Keys in ascending order, for binary search.
    keys: Vec<KeyOwner>,
    limits: document::CallerLimits,
}

/// Result of looking up a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteVerdict<'a> {
    /// The request may take this route.
    Allowed {
        /// The route.
        rule: &'a document::RouteRule,
        /// Organisation that the key belongs to.
        organisation: Option<&'a str>,
        /// Priority that runners are told; 0 is the highest.
        priority: u8,
        /// Rank in admission.
        rank: demand::RequestRank,
    },
    /// No route matches the host and path.
    NoRoute,
    /// The route needs a key, and the request has none or an unknown one.
    KeyUnknown,
}

impl RoutingTable {
    /// Builds the table from a document.
    pub fn new(document: document::RoutingDocument) -> Self {
        let mut routes = document.routes;
        routes.sort_by(|one, other| {
            let longer = other.prefix.len().cmp(&one.prefix.len());
            one.host.cmp(&other.host).then(longer)
        });
        let mut services = document.services;
        services.sort_by(|one, other| one.name.cmp(&other.name));
        let organisations = document.organisations;
        let mut keys: Vec<_> = organisations
            .iter()
            .flatten()
            .enumerate()
            .flat_map(|(organisation, spec)| {
                let owner = move |key: &String| KeyOwner {
                    key: key.clone(),
                    organisation,
                };
                spec.keys.iter().map(owner)
            })
            .collect();
        keys.sort_by(|one, other| one.key.cmp(&other.key));
        Self {
            version: document.version,
            routes,
            services,
            organisations,
            keys,
            limits: document.limits,
        }
    }

    /// Returns the version of the document.
    pub fn version(&self) -> id::DocumentVersion {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> &document::CallerLimits {
        &self.limits
    }

    /// Returns the services, sorted by name.
    pub fn services(&self) -> &[document::ServiceSpec] {
        &self.services
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&document::ServiceSpec> {
        let found = self
            .services
            .binary_search_by(|spec| spec.name.as_str().cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// Finds the route of a request and checks its key.
    pub fn decide(&self, host: &str, path: &str, key: Option<&str>) -> RouteVerdict<'_> {
        let Some(rule) = self.find_route(host, path) else {
            return RouteVerdict::NoRoute;
        };
        let anonymous = RouteVerdict::Allowed {
            rule,
            organisation: None,
            priority: rule.priority,
            rank: rank(rule.priority, rule),
        };
        let Some(organisations) = &self.organisations else {
            return anonymous;
        };
        match key.and_then(|key| self.find_organisation(key)) {
            Some(index) => {
                let spec = &organisations[index];
                let priority = spec.priority.unwrap_or(rule.priority);
                RouteVerdict::Allowed {
                    rule,
                    organisation: Some(&spec.name),
                    priority,
                    rank: rank(priority, rule),
                }
            }
            None if rule.public => anonymous,
            None => RouteVerdict::KeyUnknown,
        }
    }

    fn find_route(&self, host: &str, path: &str) -> Option<&document::RouteRule> {
        // The Host header may contain a port.
        let host = host.split(':').next().unwrap_or_default();
        let host = host.to_ascii_lowercase();
        let start = self.routes.partition_point(|rule| rule.host < host);
        self.routes[start..]
            .iter()
            .take_while(|rule| rule.host == host)
            .find(|rule| path.starts_with(&rule.prefix))
    }

    fn find_organisation(&self, key: &str) -> Option<usize> {
        let found = self
            .keys
            .binary_search_by(|owner| owner.key.as_str().cmp(key));
        found.ok().map(|index| self.keys[index].organisation)
    }
}

/// Returns the rank of a request with this priority: ordered by the priority, then by
/// that of the route.
fn rank(priority: u8, rule: &document::RouteRule) -> demand::RequestRank {
    let limit = |priority: u8| priority.min(PRIORITY_COUNT - 1);
    limit(priority) * PRIORITY_COUNT + limit(rule.priority)
}

/// Chooses a service of a route by weight; `draw` is a random number from 0 to 1.
pub fn choose_service(rule: &document::RouteRule, draw: f64) -> &str {
    let total: f64 = rule.services.iter().map(|share| share.weight).sum();
    let mut rest = draw * total;
    let mut weighted = rule.services.iter().filter(|share| share.weight > 0.0);
    let chosen = weighted.clone().find(|share| {
        rest -= share.weight;
        rest < 0.0
    });
    let chosen = chosen.or_else(|| weighted.next_back());
    chosen.map_or("", |share| &share.service)
}
