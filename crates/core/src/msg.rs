//! The one macro that declares every message of the project with its derives (§2.1).

/// Declares structs and enums that travel: borsh between own processes, JSON outside.
#[macro_export]
macro_rules! messages {
    ($($(#[$m:meta])* $vis:vis $kind:ident $name:ident { $($body:tt)* })*) => {$(
        $(#[$m])*
        #[derive(Clone, Debug, PartialEq, ::borsh::BorshSerialize, ::borsh::BorshDeserialize,
                 ::serde::Serialize, ::serde::Deserialize)]
        $vis $kind $name { $($body)* }
    )*};
}
