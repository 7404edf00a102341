//! The simulator's adapter: runs many balancers in one process. It reads batches of events from
//! standard input and writes the resulting actions to standard output.

use pinetrail::logic::Balancer;
use pinetrail::settings::Settings;
use pinetrail::wire::{read_batch, AddressedMessage, Batch, Message, Reply, WireError};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinetrail-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), WireError> {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut instances = BTreeMap::new();
    let mut offset = 0;
    while let Some(batch) = read_batch(&mut input, &mut offset)? {
        output.write_all(&apply_batch(batch, &mut instances).frame())?;
        output.flush()?;
    }
    Ok(())
}

/// Applies a batch to the instances that it names, and returns their actions. Events for unknown
/// instances are ignored.
fn apply_batch(batch: Batch, instances: &mut BTreeMap<u32, Balancer>) -> Reply {
    let mut reply = Reply::default();
    let mut actions = Vec::new();
    for AddressedMessage { instance, message } in batch.messages {
        match message {
            Message::Attach { seed, settings } => match Settings::from_json(&settings) {
                Ok(settings) => {
                    instances.insert(instance, Balancer::new(settings, seed));
                }
                Err(error) => {
                    instances.remove(&instance);
                    reply.fault(instance, &format!("settings: {error}"));
                }
            },
            Message::Kill => {
                instances.remove(&instance);
            }
            Message::Event(event) => {
                if let Some(balancer) = instances.get_mut(&instance) {
                    balancer.handle(batch.now, event, &mut actions);
                }
                for action in actions.drain(..) {
                    reply.push(instance, &action);
                }
            }
        }
    }
    reply
}
