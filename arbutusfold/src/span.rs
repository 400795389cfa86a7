//! Values of a JSON syntax tree with their source ranges, for checks across fields.

use jsonc_parser::ast;
use jsonc_parser::common::{Range, Ranged};

use crate::check;

/// A string value with its source range.
#[derive(Clone, Debug)]
pub struct SpannedText<'a> {
    /// The unescaped string.
    pub text: &'a str,
    /// Byte range of the literal in the source text.
    pub range: Range,
    /// Path of the value, such as `upstreams[0].name`.
    pub path: String,
}

/// An object with its path in the document.
#[derive(Clone, Debug)]
pub struct SpannedObject<'a> {
    /// Node of the syntax tree.
    pub object: &'a ast::Object<'a>,
    /// Path of the object, such as `upstreams[0]`; empty for the root.
    pub path: String,
}

impl<'a> SpannedObject<'a> {
    /// Returns the value of a string field; `None` for any other type.
    pub fn text(&self, field: &str) -> Option<SpannedText<'a>> {
        let literal = self.object.get(field)?.value.as_string_lit()?;
        Some(SpannedText {
            text: &literal.value,
            range: literal.range,
            path: self.path_of(field),
        })
    }

    /// Returns the strings in a list field and skips values of other types.
    pub fn texts(&self, field: &str) -> Vec<SpannedText<'a>> {
        let Some(array) = self.array(field) else {
            return Vec::new();
        };
        let path = self.path_of(field);
        let literals = array.elements.iter().enumerate();
        literals
            .filter_map(|(index, value)| {
                let literal = value.as_string_lit()?;
                Some(SpannedText {
                    text: &literal.value,
                    range: literal.range,
                    path: format!("{path}[{index}]"),
                })
            })
            .collect()
    }

    /// Returns the objects in a list field and skips values of other types.
    pub fn objects(&self, field: &str) -> Vec<SpannedObject<'a>> {
        let Some(array) = self.array(field) else {
            return Vec::new();
        };
        let path = self.path_of(field);
        let values = array.elements.iter().enumerate();
        values
            .filter_map(|(index, value)| {
                Some(SpannedObject {
                    object: value.as_object()?,
                    path: format!("{path}[{index}]"),
                })
            })
            .collect()
    }

    /// Returns the value of a field that holds an unsigned integer.
    pub fn number(&self, field: &str) -> Option<u64> {
        let literal = self.object.get(field)?.value.as_number_lit()?;
        literal.value.parse().ok()
    }

    fn array(&self, field: &str) -> Option<&'a ast::Array<'a>> {
        self.object.get(field)?.value.as_array()
    }

    fn path_of(&self, field: &str) -> String {
        match self.path.is_empty() {
            true => field.to_owned(),
            false => format!("{}.{field}", self.path),
        }
    }
}

/// Returns the values of a string field over several objects.
pub fn texts_of<'a>(objects: &[SpannedObject<'a>], field: &str) -> Vec<SpannedText<'a>> {
    objects
        .iter()
        .filter_map(|object| object.text(field))
        .collect()
}

/// Returns the strings in sorted order, as [`require_known`] needs them.
pub fn sorted<'a>(texts: &[SpannedText<'a>]) -> Vec<&'a str> {
    let mut sorted: Vec<_> = texts.iter().map(|spanned| spanned.text).collect();
    sorted.sort_unstable();
    sorted
}

/// Adds an error for each string that occurs earlier in `texts`.
pub fn require_unique(
    context: &mut check::CheckContext<'_>,
    texts: &[SpannedText<'_>],
    allowed: &str,
) {
    let mut order: Vec<_> = texts.iter().collect();
    order.sort_by_key(|spanned| (spanned.text, spanned.range.start()));
    for pair in order.windows(2) {
        if pair[0].text == pair[1].text {
            let found = format!("duplicate {}", check::quote(pair[1].text));
            context.add(&pair[1].range, &pair[1].path, found, allowed.to_owned());
        }
    }
}

/// Adds an error for each string that is not in `known`, which must be sorted.
///
/// `entry` says what the string should name, for the error message.
pub fn require_known(
    context: &mut check::CheckContext<'_>,
    texts: &[SpannedText<'_>],
    known: &[&str],
    entry: &str,
) {
    for spanned in texts {
        if known.binary_search(&spanned.text).is_err() {
            let found = check::quote(spanned.text);
            let allowed = match check::nearest(spanned.text, known.iter().copied()) {
                Some(nearest) => format!("the name of {entry}, such as {}", check::quote(nearest)),
                None => format!("the name of {entry}"),
            };
            context.add(&spanned.range, &spanned.path, found, allowed);
        }
    }
}
