//! Fields of the configuration document and the checks between them.

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

use crate::check;
use crate::span;

/// Most layers that a model may have.
const LAYERS_LIMIT: u64 = 10_000;

/// Most runners that each layer may be given.
const REPLICAS_LIMIT: u64 = 10_000;

/// Largest weight in fair queues.
const WEIGHT_LIMIT: u64 = 1_000_000;

/// Longest deadline in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 24 * 60 * 60 * 1_000;

/// Longest delay of a link in microseconds.
const DELAY_LIMIT_US: u64 = 60 * 1_000_000;

/// Largest rate, which keeps sums of rates within their type.
const RATE_LIMIT: u64 = 1 << 48;

/// Fields of [`crate::document::ModelSpec`].
pub const MODEL: &[check::FieldSpec] = &[
    check::FieldSpec::required("name", check::FieldKind::PathName),
    check::FieldSpec::required("layers", check::FieldKind::Number(1, LAYERS_LIMIT)),
    check::FieldSpec::required("version", check::FieldKind::PathName),
];

/// Fields of [`crate::document::PipelineSpec`].
pub const PIPELINE: &[check::FieldSpec] = &[
    check::FieldSpec::required("name", check::FieldKind::Name),
    check::FieldSpec::required("model", check::FieldKind::PathName),
    check::FieldSpec::required(
        "upstreams",
        check::FieldKind::List(1, &check::FieldKind::Name),
    ),
    check::FieldSpec::optional("replicas", check::FieldKind::Number(1, REPLICAS_LIMIT)),
];

/// Fields of [`crate::document::UpstreamSpec`].
pub const UPSTREAM: &[check::FieldSpec] = &[
    check::FieldSpec::required("name", check::FieldKind::Name),
    check::FieldSpec::required("address", check::FieldKind::Address),
    check::FieldSpec::required("domain", check::FieldKind::Name),
    check::FieldSpec::optional("accelerator", check::FieldKind::Text),
    check::FieldSpec::optional("capacity_layers", check::FieldKind::Number(0, LAYERS_LIMIT)),
    check::FieldSpec::optional("checks_fencing", check::FieldKind::Flag),
];

/// Fields of [`crate::document::ServiceSpec`].
pub const SERVICE: &[check::FieldSpec] = &[
    check::FieldSpec::required("name", check::FieldKind::Name),
    check::FieldSpec::required(
        "upstreams",
        check::FieldKind::List(1, &check::FieldKind::Name),
    ),
    check::FieldSpec::optional(
        "non_idempotent",
        check::FieldKind::List(0, &check::FieldKind::Record(CALL)),
    ),
    check::FieldSpec::optional(
        "deadline_ms",
        check::FieldKind::Number(1, DEADLINE_LIMIT_MS),
    ),
];

/// Fields of [`crate::document::CallSpec`].
pub const CALL: &[check::FieldSpec] = &[
    check::FieldSpec::required("method", check::FieldKind::Method),
    check::FieldSpec::required("path", check::FieldKind::Path),
];

/// Fields of [`crate::document::OrganisationSpec`].
pub const ORGANISATION: &[check::FieldSpec] = &[
    check::FieldSpec::required("name", check::FieldKind::Name),
    check::FieldSpec::required(
        "key_digests",
        check::FieldKind::List(0, &check::FieldKind::Hex),
    ),
    check::FieldSpec::optional("weight", check::FieldKind::Number(1, WEIGHT_LIMIT)),
    check::FieldSpec::optional(
        "priority",
        check::FieldKind::Choice(&["urgent", "interactive", "background"]),
    ),
    check::FieldSpec::optional("tokens_per_second", check::FieldKind::Number(0, RATE_LIMIT)),
    check::FieldSpec::optional(
        "requests_per_second",
        check::FieldKind::Number(0, RATE_LIMIT),
    ),
    check::FieldSpec::optional(
        "deadline_ms",
        check::FieldKind::Number(1, DEADLINE_LIMIT_MS),
    ),
];

/// Fields of [`crate::document::LinkSpec`].
pub const LINK: &[check::FieldSpec] = &[
    check::FieldSpec::required("from", check::FieldKind::Name),
    check::FieldSpec::required("to", check::FieldKind::Name),
    check::FieldSpec::required("delay_us", check::FieldKind::Number(0, DELAY_LIMIT_US)),
    check::FieldSpec::optional("bytes_per_second", check::FieldKind::Number(0, RATE_LIMIT)),
];

/// Fields of [`crate::document::ConfigDocument`].
pub const DOCUMENT: &[check::FieldSpec] = &[
    check::FieldSpec::required(
        "models",
        check::FieldKind::List(0, &check::FieldKind::Record(MODEL)),
    ),
    check::FieldSpec::required(
        "pipelines",
        check::FieldKind::List(0, &check::FieldKind::Record(PIPELINE)),
    ),
    check::FieldSpec::required(
        "upstreams",
        check::FieldKind::List(0, &check::FieldKind::Record(UPSTREAM)),
    ),
    check::FieldSpec::optional(
        "services",
        check::FieldKind::List(0, &check::FieldKind::Record(SERVICE)),
    ),
    check::FieldSpec::required(
        "organisations",
        check::FieldKind::List(0, &check::FieldKind::Record(ORGANISATION)),
    ),
    check::FieldSpec::optional(
        "links",
        check::FieldKind::List(0, &check::FieldKind::Record(LINK)),
    ),
    check::FieldSpec::optional(
        "domains",
        check::FieldKind::List(0, &check::FieldKind::Name),
    ),
];

/// Sections of a document, with their entries and cross references.
struct DocumentTree<'a> {
    models: Vec<span::SpannedObject<'a>>,
    pipelines: Vec<span::SpannedObject<'a>>,
    upstreams: Vec<span::SpannedObject<'a>>,
    services: Vec<span::SpannedObject<'a>>,
    organisations: Vec<span::SpannedObject<'a>>,
    links: Vec<span::SpannedObject<'a>>,
    domains: Vec<span::SpannedText<'a>>,
}

/// Checks what one entry of a document says of another.
pub fn check_references(object: &ast::Object<'_>, context: &mut check::CheckContext<'_>) {
    let root = span::SpannedObject {
        object,
        path: String::new(),
    };
    let tree = DocumentTree {
        models: root.objects("models"),
        pipelines: root.objects("pipelines"),
        upstreams: root.objects("upstreams"),
        services: root.objects("services"),
        organisations: root.objects("organisations"),
        links: root.objects("links"),
        domains: root.texts("domains"),
    };
    check_names(&tree, context);
    check_upstreams(&tree, context);
    check_pipelines(&tree, context);
    check_services(&tree, context);
    check_organisations(&tree, context);
    check_links(&tree, context);
}

fn check_names(tree: &DocumentTree<'_>, context: &mut check::CheckContext<'_>) {
    let sections = [
        &tree.models,
        &tree.pipelines,
        &tree.upstreams,
        &tree.services,
        &tree.organisations,
    ];
    for section in sections {
        let names = span::texts_of(section, "name");
        span::require_unique(context, &names, "each name once");
    }
    span::require_unique(context, &tree.domains, "each failure domain once");
}

fn check_upstreams(tree: &DocumentTree<'_>, context: &mut check::CheckContext<'_>) {
    let addresses = span::texts_of(&tree.upstreams, "address");
    span::require_unique(context, &addresses, "an address of its own");
}

fn check_pipelines(tree: &DocumentTree<'_>, context: &mut check::CheckContext<'_>) {
    let models = span::sorted(&span::texts_of(&tree.models, "name"));
    let upstreams = span::sorted(&span::texts_of(&tree.upstreams, "name"));
    let named = span::texts_of(&tree.pipelines, "model");
    span::require_known(context, &named, &models, "a model");
    for pipeline in &tree.pipelines {
        let members = pipeline.texts("upstreams");
        span::require_known(context, &members, &upstreams, "an upstream");
        span::require_unique(context, &members, "each upstream once");
    }
    check_capacity(tree, context);
}

fn check_capacity(tree: &DocumentTree<'_>, context: &mut check::CheckContext<'_>) {
    let mut capacities: Vec<_> = tree
        .upstreams
        .iter()
        .filter_map(|upstream| {
            let name = upstream.text("name")?.text;
            Some((name, upstream.number("capacity_layers").unwrap_or(0)))
        })
        .collect();
    capacities.sort_unstable();
    let capacity_of = |name: &str| {
        let place = capacities.binary_search_by_key(&name, |(name, _)| *name);
        place.ok().map(|place| capacities[place].1)
    };
    for pipeline in &tree.pipelines {
        let members = pipeline.texts("upstreams");
        for member in &members {
            if capacity_of(member.text) == Some(0) {
                let found = format!("{} with no capacity", check::quote(member.text));
                let allowed = "an upstream with capacity_layers of at least 1".to_owned();
                context.add(&member.range, &member.path, found, allowed);
            }
        }
        let layers = pipeline.text("model").and_then(|named| {
            let mut models = tree.models.iter();
            let model = models.find(|model| {
                model
                    .text("name")
                    .is_some_and(|name| name.text == named.text)
            });
            model.and_then(|model| model.number("layers"))
        });
        let Some(layers) = layers else { continue };
        let capacities: Option<Vec<_>> = members
            .iter()
            .map(|member| capacity_of(member.text))
            .collect();
        // A member that is not known has its own error.
        let Some(capacities) = capacities else {
            continue;
        };
        let held: u64 = capacities
            .into_iter()
            .fold(0, |sum, capacity| sum.saturating_add(capacity));
        let replicas = pipeline.number("replicas").unwrap_or(1);
        let needed = layers.saturating_mul(replicas);
        if held < needed {
            let found = format!("room for {held} layers");
            let allowed =
                format!("at least {needed}, which is {layers} layers for {replicas} replicas");
            let path = format!("{}.upstreams", pipeline.path);
            context.add(&pipeline.object.range(), &path, found, allowed);
        }
    }
}

fn check_services(tree: &DocumentTree<'_>, context: &mut check::CheckContext<'_>) {
    let upstreams = span::sorted(&span::texts_of(&tree.upstreams, "name"));
    for service in &tree.services {
        let members = service.texts("upstreams");
        span::require_known(context, &members, &upstreams, "an upstream");
        span::require_unique(context, &members, "each upstream once");
    }
}

fn check_organisations(tree: &DocumentTree<'_>, context: &mut check::CheckContext<'_>) {
    let digests: Vec<_> = tree
        .organisations
        .iter()
        .flat_map(|organisation| organisation.texts("key_digests"))
        .collect();
    span::require_unique(context, &digests, "a key of one organisation only");
}

fn check_links(tree: &DocumentTree<'_>, context: &mut check::CheckContext<'_>) {
    let mut domains = span::texts_of(&tree.upstreams, "domain");
    domains.extend(tree.domains.iter().cloned());
    let domains = span::sorted(&domains);
    let mut ends: Vec<_> = Vec::new();
    for link in &tree.links {
        let (Some(from), Some(to)) = (link.text("from"), link.text("to")) else {
            continue;
        };
        let what = "a failure domain of an upstream or in domains";
        span::require_known(context, &[from.clone(), to.clone()], &domains, what);
        let pair = (from.text.min(to.text), from.text.max(to.text));
        if ends.contains(&pair) {
            let found = format!("{} to {} again", pair.0, pair.1);
            let allowed = "each pair of failure domains once".to_owned();
            context.add(&link.object.range(), &link.path, found, allowed);
        }
        ends.push(pair);
    }
}
