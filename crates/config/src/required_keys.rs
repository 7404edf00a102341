//! The keys that a newer configuration may not leave out; read [`ComparedObject`] first.

/// The object whose keys are compared with those of a newer one. A path has the keys from the
/// object on, joined by dots; `[]` follows the key of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ComparedObject {
    /// The whole configuration.
    Configuration,
    /// The object `settings`.
    Settings,
}

/// The key of the configuration that may be left out, since discovery replaces the list in its
/// value.
const CACHED_ENDPOINTS_KEY: &str = "known";
const SETTINGS_PREFIX: &str = "settings.";

/// The keys of the settings that the operators define and that each of their files has if an
/// earlier one had it. Two kinds of keys are not among them: `Grades[].AimStretch`, which may be
/// absent, and keys that are not defined, which have no effect.
pub(super) const REQUIRED_SETTINGS_KEYS: &[&str] = &[
    "Callers",
    "Callers.MarksRetry",
    "Discovery",
    "Family",
    "FamilyInfo",
    "FamilyInfo.Mode",
    "FamilyInfo.Notes",
    "FamilyInfo.OriginFall",
    "FamilyInfo.OriginFallMultiple",
    "FamilyInfo.OriginKind",
    "FamilyInfo.ReportX0",
    "FamilyInfo.ReportX1",
    "Goal",
    "Goal.Whole",
    "Goal.WorstClass",
    "Goal.WorstTenant",
    "Goal.WorstWindow",
    "Grades",
    "Grades[].Aim",
    "Grades[].DedupScope",
    "Grades[].GiveUp",
    "Grades[].LateWorth",
    "Grades[].Name",
    "Grades[].RepeatWindow",
    "Grades[].Semantics",
    "Grades[].Stream",
    "Grades[].Worth",
    "GroupSize",
    "Kinds",
    "MyNumber",
    "Orgs",
    "Orgs[].AllowancePerS",
    "Orgs[].Name",
    "Orgs[].Share",
    "OverShareWorth",
    "Permissions",
    "Permissions.Cancel",
    "Permissions.ConnIdle",
    "Permissions.ConnectTimeout",
    "Permissions.CpuUsPerRequest",
    "Permissions.CpuUsPerS",
    "Permissions.MaxAttempts",
    "Permissions.MaxOpen",
    "Permissions.MaxRetryAfter",
    "Permissions.PeerMessages",
    "Permissions.Probing",
    "Permissions.RetryAfter",
    "Permissions.SecondCopies",
    "Permissions.StreamsPerConn",
    "Prices",
    "Prices.Connection",
    "Prices.CrossZone",
    "Prices.Discovery",
    "Prices.Fleet",
    "Prices.Handshake",
    "Prices.LateFail",
    "Prices.Moves",
    "Prices.Origin",
    "Prices.Peer",
    "Prices.Probe",
    "Prices.Waste",
    "Report",
    "Report.Columns",
    "Report.How",
    "Safety",
    "Safety.AnswerSlack",
    "Safety.Cold",
    "Safety.FallMultiple",
    "Safety.MustAskIn",
    "Safety.StartCapacity",
    "Safety.StopSendingWithin",
    "Safety.TipAfter",
    "Stage",
    "Stages",
    "Tick",
    "ValueBy",
    "Weights",
    "Zone",
    "Zones",
];

impl ComparedObject {
    /// Decides whether a newer object that leaves out this key, which the earlier one has, is
    /// incomplete.
    ///
    /// Inputs: the path of the key.
    /// Reason: a key that is left out by mistake would silently get its default. A key that may be
    /// absent is no mistake, and must not keep the other new values from becoming active.
    /// Source: docs/incidents/2026-12-04-settings-refused-for-an-optional-key.md.
    pub(super) fn requires(self, path: &str) -> bool {
        let settings_path = match self {
            ComparedObject::Configuration => path.strip_prefix(SETTINGS_PREFIX),
            ComparedObject::Settings => Some(path),
        };
        match settings_path {
            Some(path) => REQUIRED_SETTINGS_KEYS.contains(&path),
            None => path != CACHED_ENDPOINTS_KEY,
        }
    }
}
