//! Field schema of the configuration document and its checks across entries.

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

use crate::check;
use crate::span;

/// Maximum number of layers of a model.
const LAYERS_LIMIT: u64 = 10_000;

/// Maximum number of runners per layer.
const REPLICAS_LIMIT: u64 = 10_000;

/// Maximum weight of an organisation in fair queues.
const WEIGHT_LIMIT: u64 = 1_000_000;

/// Maximum deadline in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 24 * 60 * 60 * 1_000;

/// Maximum one-way delay of a link in microseconds.
const DELAY_LIMIT_US: u64 = 60 * 1_000_000;

/// Maximum rate per second; low enough that sums of rates do not overflow.
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

/// Entries of a document's sections as nodes of the syntax tree.
struct DocumentSections<'a> {
    models: Vec<span::SpannedObject<'a>>,
    pipelines: Vec<span::SpannedObject<'a>>,
    upstreams: Vec<span::SpannedObject<'a>>,
    services: Vec<span::SpannedObject<'a>>,
    organisations: Vec<span::SpannedObject<'a>>,
    links: Vec<span::SpannedObject<'a>>,
    domains: Vec<span::SpannedText<'a>>,
}

/// Checks that references between entries resolve, that names and addresses
/// are unique and that pipelines have enough capacity.
pub fn check_references(object: &ast::Object<'_>, context: &mut check::CheckContext<'_>) {
    let root = span::SpannedObject {
        object,
        path: String::new(),
    };
    let sections = DocumentSections {
        models: root.objects("models"),
        pipelines: root.objects("pipelines"),
        upstreams: root.objects("upstreams"),
        services: root.objects("services"),
        organisations: root.objects("organisations"),
        links: root.objects("links"),
        domains: root.texts("domains"),
    };
    check_names(&sections, context);
    check_upstreams(&sections, context);
    check_pipelines(&sections, context);
    check_services(&sections, context);
    check_organisations(&sections, context);
    check_links(&sections, context);
}

fn check_names(sections: &DocumentSections<'_>, context: &mut check::CheckContext<'_>) {
    let named_sections = [
        &sections.models,
        &sections.pipelines,
        &sections.upstreams,
        &sections.services,
        &sections.organisations,
    ];
    for section in named_sections {
        let names = span::texts_of(section, "name");
        span::require_unique(context, &names, "each name once");
    }
    span::require_unique(context, &sections.domains, "each failure domain once");
}

fn check_upstreams(sections: &DocumentSections<'_>, context: &mut check::CheckContext<'_>) {
    let addresses = span::texts_of(&sections.upstreams, "address");
    span::require_unique(context, &addresses, "an address of its own");
}

fn check_pipelines(sections: &DocumentSections<'_>, context: &mut check::CheckContext<'_>) {
    let models = span::sorted(&span::texts_of(&sections.models, "name"));
    let upstreams = span::sorted(&span::texts_of(&sections.upstreams, "name"));
    let references = span::texts_of(&sections.pipelines, "model");
    span::require_known(context, &references, &models, "a model");
    for pipeline in &sections.pipelines {
        let members = pipeline.texts("upstreams");
        span::require_known(context, &members, &upstreams, "an upstream");
        span::require_unique(context, &members, "each upstream once");
    }
    check_capacity(sections, context);
}

/// Checks that each pipeline's upstreams together hold its model's layers, once
/// per replica.
fn check_capacity(sections: &DocumentSections<'_>, context: &mut check::CheckContext<'_>) {
    let mut capacities: Vec<_> = sections
        .upstreams
        .iter()
        .filter_map(|upstream| {
            let name = upstream.text("name")?.text;
            Some((name, upstream.number("capacity_layers").unwrap_or(0)))
        })
        .collect();
    capacities.sort_unstable();
    let capacity_of = |name: &str| {
        let index = capacities.binary_search_by_key(&name, |(name, _)| *name);
        index.ok().map(|index| capacities[index].1)
    };
    for pipeline in &sections.pipelines {
        let members = pipeline.texts("upstreams");
        for member in &members {
            if capacity_of(member.text) == Some(0) {
                let found = format!("{} with no capacity", check::quote(member.text));
                let allowed = "an upstream with capacity_layers of at least 1".to_owned();
                context.add(&member.range, &member.path, found, allowed);
            }
        }
        let layers = pipeline.text("model").and_then(|reference| {
            let mut models = sections.models.iter();
            let model = models.find(|model| {
                model
                    .text("name")
                    .is_some_and(|name| name.text == reference.text)
            });
            model.and_then(|model| model.number("layers"))
        });
        let Some(layers) = layers else { continue };
        let capacities: Option<Vec<_>> = members
            .iter()
            .map(|member| capacity_of(member.text))
            .collect();
        // An unknown member is already reported by `check_pipelines`.
        let Some(capacities) = capacities else {
            continue;
        };
        let capacity: u64 = capacities
            .into_iter()
            .fold(0, |sum, capacity| sum.saturating_add(capacity));
        let replicas = pipeline.number("replicas").unwrap_or(1);
        let needed = layers.saturating_mul(replicas);
        if capacity < needed {
            let found = format!("a total capacity of {capacity} layers");
            let allowed =
                format!("at least {needed}, which is {layers} layers for {replicas} replicas");
            let path = format!("{}.upstreams", pipeline.path);
            context.add(&pipeline.object.range(), &path, found, allowed);
        }
    }
}

fn check_services(sections: &DocumentSections<'_>, context: &mut check::CheckContext<'_>) {
    let upstreams = span::sorted(&span::texts_of(&sections.upstreams, "name"));
    for service in &sections.services {
        let members = service.texts("upstreams");
        span::require_known(context, &members, &upstreams, "an upstream");
        span::require_unique(context, &members, "each upstream once");
    }
}

fn check_organisations(sections: &DocumentSections<'_>, context: &mut check::CheckContext<'_>) {
    let digests: Vec<_> = sections
        .organisations
        .iter()
        .flat_map(|organisation| organisation.texts("key_digests"))
        .collect();
    span::require_unique(context, &digests, "a key of one organisation only");
}

fn check_links(sections: &DocumentSections<'_>, context: &mut check::CheckContext<'_>) {
    let mut domains = span::texts_of(&sections.upstreams, "domain");
    domains.extend(sections.domains.iter().cloned());
    let domains = span::sorted(&domains);
    let mut pairs: Vec<_> = Vec::new();
    for link in &sections.links {
        let (Some(from), Some(to)) = (link.text("from"), link.text("to")) else {
            continue;
        };
        let entry = "a failure domain of an upstream or in domains";
        span::require_known(context, &[from.clone(), to.clone()], &domains, entry);
        // A link applies both ways, so the order of its ends does not matter.
        let pair = (from.text.min(to.text), from.text.max(to.text));
        if pairs.contains(&pair) {
            let found = format!("duplicate link {} to {}", pair.0, pair.1);
            let allowed = "each pair of failure domains once".to_owned();
            context.add(&link.object.range(), &link.path, found, allowed);
        }
        pairs.push(pair);
    }
}
