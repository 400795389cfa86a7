//! Differences of an operator's document from the one in force.

use std::cmp;
use std::fmt;

use arbutusfold_platform::document;

use crate::check;
use crate::gateway::review;

/// Number of characters after which a value is truncated.
const VALUE_LIMIT_CHARACTERS: usize = 160;

/// Name of a field and a text for its value.
type FieldText = (&'static str, String);

/// Kinds of entries, and the codes of what can happen to them.
struct EntryKind {
    list: &'static str,
    added: &'static str,
    removed: &'static str,
    changed: &'static str,
}

const ROUTES: EntryKind = EntryKind {
    list: "routes",
    added: "route_added",
    removed: "route_removed",
    changed: "route_changed",
};

const SERVICES: EntryKind = EntryKind {
    list: "services",
    added: "service_added",
    removed: "service_removed",
    changed: "service_changed",
};

const ORGANISATIONS: EntryKind = EntryKind {
    list: "organisations",
    added: "organisation_added",
    removed: "organisation_removed",
    changed: "organisation_changed",
};

/// Adds the differences of `new` from `old`, the document in force.
pub(super) fn compare(
    old: &document::RoutingDocument,
    new: &document::RoutingDocument,
    review: &mut review::DocumentReview,
) {
    if new.version <= old.version {
        let message = format_args!(
            "gateways ignore version {}: version {} is in force",
            new.version, old.version
        );
        review.error(&"version", "version_not_higher", message);
    }
    // Routes without a name are recognised by what they match.
    let route_key = |rule: &document::RouteRule| match rule.name.is_empty() {
        true => (String::new(), rule.host.clone(), rule.prefix.clone()),
        false => (rule.name.clone(), String::new(), String::new()),
    };
    let label = |rule: &document::RouteRule| match rule.name.is_empty() {
        true => check::quote(&format!("{}{}", rule.host, rule.prefix)),
        false => check::quote(&rule.name),
    };
    let entries = Entries {
        kind: &ROUTES,
        old: &old.routes,
        new: &new.routes,
    };
    entries.compare(route_key, label, route_fields, review);
    let entries = Entries {
        kind: &SERVICES,
        old: &old.services,
        new: &new.services,
    };
    let label = |spec: &document::ServiceSpec| check::quote(&spec.name);
    entries.compare(|spec| spec.name.clone(), label, service_fields, review);
    compare_organisations(old, new, review);
    let (old, new) = (limit_fields(&old.limits), limit_fields(&new.limits));
    for (field, before, after) in changed_fields(old, new) {
        let message = format_args!("{field}: {before} -> {after}");
        review.differ(&"limits", "limit_changed", message);
    }
}

fn compare_organisations(
    old: &document::RoutingDocument,
    new: &document::RoutingDocument,
    review: &mut review::DocumentReview,
) {
    match (&old.organisations, &new.organisations) {
        (None, Some(_)) => review.differ(
            &"organisations",
            "keys_needed",
            format_args!("routes that are not public begin to need a key"),
        ),
        (Some(_), None) => review.differ(
            &"organisations",
            "keys_not_needed",
            format_args!("no route needs a key any more"),
        ),
        _ => {}
    }
    let entries = Entries {
        kind: &ORGANISATIONS,
        old: old.organisations.as_deref().unwrap_or_default(),
        new: new.organisations.as_deref().unwrap_or_default(),
    };
    let label = |spec: &document::OrganisationKeys| check::quote(&spec.name);
    let fields = |spec: &document::OrganisationKeys| vec![("priority", optional(spec.priority))];
    entries.compare(|spec| spec.name.clone(), label, fields, review);
    for (old_index, new_index) in entries.matches(|spec| spec.name.clone()).pairs {
        let (old, new) = (&entries.old[old_index], &entries.new[new_index]);
        let (added, removed) = (missing(&new.keys, &old.keys), missing(&old.keys, &new.keys));
        if added + removed > 0 {
            let message = format_args!(
                "organisation {}: {added} keys added, {removed} removed",
                check::quote(&new.name)
            );
            let place = format!("organisations[{new_index}]");
            review.differ(&place, "keys_changed", message);
        }
    }
}

/// Returns how many of the keys are not in another list.
fn missing(keys: &[String], others: &[String]) -> usize {
    let mut others: Vec<_> = others.iter().collect();
    others.sort_unstable();
    let is_missing = |key: &&String| others.binary_search(key).is_err();
    keys.iter().filter(is_missing).count()
}

/// The entries of one kind in the two documents.
struct Entries<'a, T> {
    kind: &'a EntryKind,
    old: &'a [T],
    new: &'a [T],
}

/// Indices of entries that are in both documents, in the old or in the new one only.
#[derive(Default)]
struct EntryMatches {
    pairs: Vec<(usize, usize)>,
    removed: Vec<usize>,
    added: Vec<usize>,
}

impl<T: PartialEq> Entries<'_, T> {
    fn compare<K: Ord>(
        &self,
        key: impl Fn(&T) -> K,
        label: impl Fn(&T) -> String,
        fields: impl Fn(&T) -> Vec<FieldText>,
        review: &mut review::DocumentReview,
    ) {
        let matches = self.matches(key);
        let kind = self.kind;
        let noun = kind.list.trim_end_matches('s');
        for index in matches.removed {
            let place = format!("in force: {}[{index}]", kind.list);
            let message = format_args!("{noun} {} is removed", label(&self.old[index]));
            review.differ(&place, kind.removed, message);
        }
        for index in matches.added {
            let place = format!("{}[{index}]", kind.list);
            let message = format_args!("{noun} {} is added", label(&self.new[index]));
            review.differ(&place, kind.added, message);
        }
        for (old_index, index) in matches.pairs {
            let (old, new) = (&self.old[old_index], &self.new[index]);
            if old == new {
                continue;
            }
            let place = format!("{}[{index}]", kind.list);
            for (field, before, after) in changed_fields(fields(old), fields(new)) {
                let message = format_args!("{noun} {}: {field}: {before} -> {after}", label(new));
                review.differ(&place, kind.changed, message);
            }
        }
    }

    /// Matches entries by key, and those that share one in the order of the documents.
    fn matches<K: Ord>(&self, key: impl Fn(&T) -> K) -> EntryMatches {
        let sorted = |entries: &[T]| {
            let keyed = entries.iter().map(&key).enumerate();
            let mut keyed: Vec<_> = keyed.map(|(index, key)| (key, index)).collect();
            keyed.sort_unstable();
            keyed
        };
        let (old, new) = (sorted(self.old), sorted(self.new));
        let mut matches = EntryMatches::default();
        let (mut before, mut after) = (0, 0);
        loop {
            let order = match (old.get(before), new.get(after)) {
                (Some((old, _)), Some((new, _))) => old.cmp(new),
                (Some(_), None) => cmp::Ordering::Less,
                (None, Some(_)) => cmp::Ordering::Greater,
                (None, None) => break,
            };
            match order {
                cmp::Ordering::Less => matches.removed.push(old[before].1),
                cmp::Ordering::Greater => matches.added.push(new[after].1),
                cmp::Ordering::Equal => matches.pairs.push((old[before].1, new[after].1)),
            }
            before += usize::from(order.is_le());
            after += usize::from(order.is_ge());
        }
        matches.removed.sort_unstable();
        matches.added.sort_unstable();
        matches.pairs.sort_unstable_by_key(|(_, new)| *new);
        matches
    }
}

/// Returns the fields that both sides have and that differ, with both values truncated.
fn changed_fields(
    old: Vec<FieldText>,
    new: Vec<FieldText>,
) -> impl Iterator<Item = (&'static str, String, String)> {
    new.into_iter().filter_map(move |(name, after)| {
        let (_, before) = old.iter().find(|(field, _)| *field == name)?;
        (*before != after).then(|| (name, truncate(before), truncate(&after)))
    })
}

/// Returns a text for a value that may be absent.
fn optional(value: Option<impl fmt::Debug>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| format!("{value:?}"))
}

fn truncate(value: &str) -> String {
    let mut truncated: String = value.chars().take(VALUE_LIMIT_CHARACTERS).collect();
    if truncated.len() < value.len() {
        truncated.push_str("...");
    }
    truncated
}

fn route_fields(rule: &document::RouteRule) -> Vec<FieldText> {
    let shares = rule.services.iter();
    let shares: Vec<_> = shares
        .map(|share| format!("{:?} {}", share.service, share.weight))
        .collect();
    vec![
        ("host", format!("{:?}", rule.host)),
        ("prefix", format!("{:?}", rule.prefix)),
        ("kind", format!("{:?}", rule.kind)),
        ("timeout", format!("{:?}", rule.timeout)),
        ("objective", optional(rule.objective)),
        ("gap_objective", optional(rule.gap_objective)),
        ("priority", rule.priority.to_string()),
        ("services", shares.join(", ")),
        ("max_attempts", rule.max_attempts.to_string()),
        ("public", rule.public.to_string()),
        ("has_prompt", rule.has_prompt.to_string()),
        ("resumable", rule.resumable.to_string()),
    ]
}

fn service_fields(spec: &document::ServiceSpec) -> Vec<FieldText> {
    let mut fields = vec![
        ("health_path", optional(spec.health_path.as_ref())),
        ("connections", spec.connections.to_string()),
        (
            "engine",
            optional(spec.engine.as_ref().map(|engine| &engine.model)),
        ),
    ];
    fields.extend(spec.engine.iter().flat_map(engine_fields));
    fields
}

fn engine_fields(engine: &document::EngineSpec) -> Vec<FieldText> {
    let cards = engine.cards.iter().map(|card| {
        let (name, memory) = (&card.name, card.memory_mb);
        let (step, read) = (card.step_factor, card.read_factor);
        format!("{name:?} {memory} MB x{step} x{read}")
    });
    let cards: Vec<_> = cards.collect();
    vec![
        ("engine.slots", engine.slots.to_string()),
        ("engine.event_tokens", engine.event_tokens.to_string()),
        ("engine.step_ms", engine.step_ms.to_string()),
        ("engine.sequence_ms", engine.sequence_ms.to_string()),
        ("engine.context_ms", engine.context_ms.to_string()),
        ("engine.read_per_second", engine.read_per_second.to_string()),
        ("engine.loads_at_once", engine.loads_at_once.to_string()),
        ("engine.prompt_tokens", engine.prompt_tokens.to_string()),
        ("engine.answer_tokens", engine.answer_tokens.to_string()),
        ("engine.layers", engine.layers.to_string()),
        ("engine.layer_mb", engine.layer_mb.to_string()),
        ("engine.token_bytes", engine.token_bytes.to_string()),
        ("engine.context_tokens", engine.context_tokens.to_string()),
        (
            "engine.activation_bytes",
            engine.activation_bytes.to_string(),
        ),
        ("engine.link_mbps", optional(engine.link_mbps)),
        ("engine.load_time", format!("{:?}", engine.load_time)),
        ("engine.cards", cards.join(", ")),
    ]
}

fn limit_fields(limits: &document::CallerLimits) -> Vec<FieldText> {
    vec![
        ("head_bytes", limits.head_bytes.to_string()),
        ("body_bytes", limits.body_bytes.to_string()),
        ("head_time", format!("{:?}", limits.head_time)),
        ("idle_time", format!("{:?}", limits.idle_time)),
    ]
}
