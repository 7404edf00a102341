//! Maps the names of classes, tenants, kinds and zones to indices; read [`Names`] first.

/// The names that the protocols use. The decision module identifies each by its index in the
/// settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The version of the settings to which the names belong. It is set when the settings become
    /// active.
    pub version: u64,
    pub(super) classes: Vec<String>,
    /// For each class, whether its writes have an idempotency key.
    pub(super) keyed: Vec<bool>,
    pub(super) tenants: Vec<String>,
    pub(super) kinds: Vec<String>,
    pub(super) zones: Vec<String>,
}

#[inline]
fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|other| other == name)
}

impl Names {
    /// Returns the names as text for digests, each with the part of the settings to which it
    /// belongs.
    ///
    /// Invariant: processes of different versions compare digests of these texts, which must stay
    /// byte for byte.
    pub fn digest_parts(&self) -> [(&'static str, String); 4] {
        [
            ("Grades", format!("{:?} {:?}", self.classes, self.keyed)),
            ("Orgs", format!("{:?}", self.tenants)),
            ("Kinds", format!("{:?}", self.kinds)),
            ("Zones", format!("{:?}", self.zones)),
        ]
    }

    /// Returns the names of the classes, for the log.
    #[inline]
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Returns the index of a class, or `None` if the class is unknown.
    #[inline]
    pub fn class(&self, name: &str) -> Option<u8> {
        index_of(&self.classes, name).and_then(|at| u8::try_from(at).ok())
    }

    /// Returns whether the writes of a class have an idempotency key.
    #[inline]
    pub fn is_keyed(&self, class: u8) -> bool {
        self.keyed.get(usize::from(class)).copied().unwrap_or(false)
    }

    /// Returns the index of a tenant, or `None` if the tenant is unknown. Every tenant has index 0
    /// if no tenants are configured.
    #[inline]
    pub fn tenant(&self, name: &str) -> Option<u32> {
        if self.tenants.is_empty() {
            Some(0)
        } else {
            index_of(&self.tenants, name).and_then(|at| u32::try_from(at).ok())
        }
    }

    /// Returns the index of a kind; unknown kinds share [`u8::MAX`].
    #[inline]
    pub fn kind(&self, name: &str) -> u8 {
        index_of(&self.kinds, name).and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX)
    }

    /// Returns the index of a zone; unknown zones share [`u16::MAX`].
    #[inline]
    pub fn zone(&self, name: &str) -> u16 {
        index_of(&self.zones, name).and_then(|at| u16::try_from(at).ok()).unwrap_or(u16::MAX)
    }
}
