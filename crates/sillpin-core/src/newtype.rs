//! Macros that declare number and text newtypes and string enums with uniform traits and formats.
//!
//! Other crates may use [`number_type`](crate::number_type) and [`text_type`](crate::text_type) too; they need the dependencies
//! `derive_more` and `serde`.

/// Declares a newtype of an unsigned integer, displayed and serialised as the plain number. Further
/// derives can be given as attributes of the declaration.
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

/// Declares a newtype of free text, displayed and serialised as the plain text.
#[macro_export]
macro_rules! text_type {
    ($(#[$attr:meta])* $name:ident) => {
        $(#[$attr])*
        #[derive(
            Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, ::derive_more::Display,
            ::derive_more::From, ::derive_more::FromStr, ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub String);
    };
}

/// Declares an enum without fields whose variants are serialised in kebab case.
macro_rules! string_enum {
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

pub(crate) use string_enum;
