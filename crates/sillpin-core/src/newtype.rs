//! Macros that declare newtypes and words, so that all of one kind have the same traits and the same spelling.
//!
//! [`number_type`](crate::number_type) serves other crates too; they need `derive_more` and `serde` among their
//! dependencies.

/// Declares a whole number with a name of its own, written as the bare number. Further traits are derived as attributes
/// of the declaration.
#[macro_export]
macro_rules! number_type {
    ($(#[$attr:meta])* $name:ident) => {
        $(#[$attr])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
            ::derive_more::Display, ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);
    };
}

/// Declares a choice between words, which are written in kebab case.
macro_rules! word_type {
    ($(#[$attr:meta])* pub enum $name:ident { $($words:tt)* }) => {
        $(#[$attr])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, ::derive_more::Display,
            ::derive_more::FromStr, ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        pub enum $name { $($words)* }
    };
}

pub(crate) use word_type;
