//! A command of the memcache side in the exchange's terms.

use crate::net::dispatcher::{ClientRequest, Dispatcher};

/// A consumer that would wait for longer is answered within this time all the same.
const LONGEST_WAIT_MS: f64 = 60_000.0;

/// A command's names and values in the exchange's terms, or what is wrong with them.
pub(super) fn invocation(
    exchange: &Dispatcher,
    key: String,
    opaque: String,
    labels: Vec<(String, String)>,
    value: Option<Vec<u8>>,
) -> Result<ClientRequest, &'static str> {
    let of = |name: &str| labels.iter().find(|label| label.0 == name).map(|label| label.1.as_str());
    // A name that comes twice says two things.
    if labels.iter().enumerate().any(|(at, label)| labels[..at].iter().any(|other| other.0 == label.0)) {
        return Err("a name given twice");
    }
    let names = exchange.names();
    let version = names.version;
    let class = of("c").and_then(|name| names.class(name)).ok_or("unknown class")?;
    // Without its key no provider can tell a repeat from a second write.
    if value.is_some() && names.is_keyed(class) && of("k").is_none_or(str::is_empty) {
        return Err("no key for a keyed write");
    }
    let tenant = match of("t") {
        Some(name) => names.tenant(name).ok_or("unknown tenant")?,
        None => 0,
    };
    let figure = |text: &str| {
        let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        text.parse().ok().filter(|figure: &f64| plain && figure.is_finite() && *figure >= 0.0)
    };
    // Timers last as long as the deadline: none may pile up for good.
    let budget = of("d").and_then(figure).ok_or("no deadline")?.min(LONGEST_WAIT_MS);
    let hint = match of("h") {
        Some(text) => Some(figure(text).ok_or("bad hint")? / 1000.0),
        None => None,
    };
    let repeat = of("r") == Some("1");
    Ok(ClientRequest { opaque, key, class, tenant, version, budget, hint, repeat, labels, value })
}
