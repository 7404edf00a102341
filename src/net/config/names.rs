//! [`Names`]: what names on the sockets mean to the decision module.

/// What names on the sockets mean to the decision module: each is its index in the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Which version of the settings they belong to: set when those become active.
    pub version: u64,
    pub(super) classes: Vec<String>,
    /// For each class, whether its writes carry an idempotency key.
    pub(super) keyed: Vec<bool>,
    pub(super) tenants: Vec<String>,
    pub(super) kinds: Vec<String>,
    pub(super) zones: Vec<String>,
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Names {
    /// What counts of them in each part of the settings, as text.
    ///
    /// Danger: processes compare digests of this text; it must stay byte for byte.
    pub fn digest_parts(&self) -> [(&'static str, String); 4] {
        [
            ("Grades", format!("{:?} {:?}", self.classes, self.keyed)),
            ("Orgs", format!("{:?}", self.tenants)),
            ("Kinds", format!("{:?}", self.kinds)),
            ("Zones", format!("{:?}", self.zones)),
        ]
    }

    /// The names of the classes, for the log.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The class of a name.
    pub fn class(&self, name: &str) -> Option<u8> {
        index_of(&self.classes, name).and_then(|at| u8::try_from(at).ok())
    }

    /// Whether the writes of a class carry a key by which repeats are dropped.
    pub fn is_keyed(&self, class: u8) -> bool {
        self.keyed.get(usize::from(class)).copied().unwrap_or(false)
    }

    /// The tenant of a name; the first where the site has none.
    pub fn tenant(&self, name: &str) -> Option<u32> {
        if self.tenants.is_empty() {
            Some(0)
        } else {
            index_of(&self.tenants, name).and_then(|at| u32::try_from(at).ok())
        }
    }

    /// The kind of a name; unknown ones share the last number.
    pub fn kind(&self, name: &str) -> u8 {
        index_of(&self.kinds, name).and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX)
    }

    /// The zone of a name; unknown ones share the last number.
    pub fn zone(&self, name: &str) -> u16 {
        index_of(&self.zones, name).and_then(|at| u16::try_from(at).ok()).unwrap_or(u16::MAX)
    }
}
