//! Parses single values of the configuration.

use super::error::ConfigError;
use std::net::SocketAddr;

const HEXADECIMAL: u32 = 16;
/// The seed of random numbers if none is configured.
const DEFAULT_SEED: u64 = 0;

/// Parses an IP address and port.
///
/// # Errors
///
/// The error names the field if its value is not an IP address and port.
pub(super) fn parse_address(field: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::invalid_value(field, value, "an IP address and port"))
}

/// Parses a list of IP addresses and ports.
///
/// # Errors
///
/// The error names the field if one of its values is not an IP address and port.
pub(super) fn parse_addresses(
    field: &'static str,
    addresses: Vec<String>,
) -> Result<Vec<SocketAddr>, ConfigError> {
    addresses.into_iter().map(|address| parse_address(field, address)).collect()
}

/// Parses the seed of random numbers, which is optional.
///
/// # Errors
///
/// If the value is not a number of at most 16 hexadecimal digits.
pub(super) fn parse_seed(value: String) -> Result<u64, ConfigError> {
    if value.is_empty() {
        return Ok(DEFAULT_SEED);
    }
    u64::from_str_radix(&value, HEXADECIMAL)
        .map_err(|_| ConfigError::invalid_value("seed", value, "a number of at most 16 hexadecimal digits"))
}
