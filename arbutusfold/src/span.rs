//! Values of a JSON tree with their places, for checks between fields.

use jsonc_parser::ast;
use jsonc_parser::common::{Range, Ranged};

use crate::check;

/// A text with its place.
#[derive(Clone, Debug)]
pub struct SpannedText<'a> {
    /// The text.
    pub text: &'a str,
    /// Place in the file.
    pub range: Range,
    /// Path of the field.
    pub path: String,
}

/// An object with its place.
#[derive(Clone, Debug)]
pub struct SpannedObject<'a> {
    /// The object.
    pub object: &'a ast::Object<'a>,
    /// Path of the object.
    pub path: String,
}

impl<'a> SpannedObject<'a> {
    /// Returns the text of a field.
    pub fn text(&self, field: &str) -> Option<SpannedText<'a>> {
        let literal = self.object.get(field)?.value.as_string_lit()?;
        Some(SpannedText {
            text: &literal.value,
            range: literal.range,
            path: self.path_of(field),
        })
    }

    /// Returns the texts of a field that is a list.
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

    /// Returns the objects of a field that is a list.
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

    /// Returns the number of a field.
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

/// Returns the texts of one field of many objects.
pub fn texts_of<'a>(objects: &[SpannedObject<'a>], field: &str) -> Vec<SpannedText<'a>> {
    objects
        .iter()
        .filter_map(|object| object.text(field))
        .collect()
}

/// Returns the texts sorted, for [`require_known`].
pub fn sorted<'a>(texts: &[SpannedText<'a>]) -> Vec<&'a str> {
    let mut sorted: Vec<_> = texts.iter().map(|spanned| spanned.text).collect();
    sorted.sort_unstable();
    sorted
}

/// Adds an error for each text that an earlier one equals.
pub fn require_unique(
    context: &mut check::CheckContext<'_>,
    texts: &[SpannedText<'_>],
    allowed: &str,
) {
    let mut order: Vec<_> = texts.iter().collect();
    order.sort_by_key(|spanned| (spanned.text, spanned.range.start()));
    for pair in order.windows(2) {
        if pair[0].text == pair[1].text {
            let found = format!("{} again", check::quote(pair[1].text));
            context.add(&pair[1].range, &pair[1].path, found, allowed.to_owned());
        }
    }
}

/// Adds an error for each text that is not among the sorted `known` ones.
pub fn require_known(
    context: &mut check::CheckContext<'_>,
    texts: &[SpannedText<'_>],
    known: &[&str],
    what: &str,
) {
    for spanned in texts {
        if known.binary_search(&spanned.text).is_err() {
            let found = check::quote(spanned.text);
            let allowed = match check::nearest(spanned.text, known.iter().copied()) {
                Some(near) => format!("the name of {what}, such as {}", check::quote(near)),
                None => format!("the name of {what}"),
            };
            context.add(&spanned.range, &spanned.path, found, allowed);
        }
    }
}
