//! One proxy process. Its configuration is the file that the environment variable `LB_CONFIG`
//! names; see the README.

use std::process::ExitCode;

fn main() -> ExitCode {
    pinetrail::net::lifecycle::run()
}
