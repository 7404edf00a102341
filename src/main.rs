//! The proxy process. The environment variable `LB_CONFIG` names its configuration file; see the
//! README.

use std::process::ExitCode;

fn main() -> ExitCode {
    pinetrail::net::lifecycle::run()
}
