//! The operators' door: a second address where they ask by HTTP/1.1, one call a connection. It decides nothing:
//! calls are put to the exchange and the lifecycle.

mod codec;
#[cfg(test)]
mod golden_tests;

use super::deadline_stream::{sleep, DeadlineStream};
use super::descriptors::MAX_ADMIN_CONNECTIONS;
use super::dispatcher::{Dispatcher, MaintenanceError};
use super::hot_restart::ControlCommand;
use super::lifecycle::{Lifecycle, Stopping};
use super::listener::{Listener, Stream};
use super::log::log;
use super::policy::Policy;
use codec::{Call, Said};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A call must be whole within this time, unless it gives way to others sooner.
const WHOLE_CALL: Duration = Duration::from_secs(5);
/// An answer must be taken within this time.
const ANSWER: Duration = Duration::from_millis(500);
/// What still comes after the answer is thrown away for so long, and so much of it. Danger: a connection that
/// closes on unread input is reset, and the answer may be lost with it.
const LINGER: Duration = Duration::from_millis(200);
const MAX_LINGER: usize = 64 * 1024;
/// Between attempts to accept, when that fails or all calls are being answered.
const REST: Duration = Duration::from_millis(5);

/// The door of one process.
pub struct AdminServer {
    listener: Listener,
    /// Calls that are not whole yet, in the order of their arrival.
    waiting: Mutex<BTreeMap<u64, DeadlineStream<Stream>>>,
    open: Mutex<usize>,
}

impl AdminServer {
    /// Opens the door; callers wait until it is served.
    pub fn open(address: SocketAddr) -> io::Result<Arc<AdminServer>> {
        let listener = Listener::new(super::listener::open(address)?)?;
        Ok(Arc::new(AdminServer { listener, waiting: Mutex::default(), open: Mutex::new(0) }))
    }

    /// Where it is.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Answers callers from now on.
    pub fn serve(self: Arc<Self>, exchange: Arc<Dispatcher>, lifecycle: Arc<Lifecycle>) {
        may::go!(move || {
            for number in 0.. {
                let stream = match self.listener.accept() {
                    Ok(Some(stream)) => DeadlineStream::of(stream),
                    Ok(None) => return,
                    Err(error) => {
                        log(&format!("door: accept: {error}"));
                        sleep(REST);
                        continue;
                    }
                };
                while !self.has_room() {
                    sleep(REST);
                }
                with(&self.waiting, |waiting| waiting.insert(number, stream.clone()));
                let place = Place::take(&self, number);
                let (exchange, lifecycle) = (Arc::clone(&exchange), Arc::clone(&lifecycle));
                may::go!(move || {
                    // An error says that the caller has gone.
                    let _ = place.answer(&stream, &exchange, &lifecycle);
                });
            }
        });
    }

    /// Whether there is room for one more call. If not, who has been silent for longest gives way.
    fn has_room(&self) -> bool {
        if with(&self.open, |open| *open < MAX_ADMIN_CONNECTIONS) {
            return true;
        }
        if let Some((_, oldest)) = with(&self.waiting, BTreeMap::pop_first) {
            oldest.end();
        }
        false
    }
}

/// A call's place; free again when it is dropped.
struct Place {
    door: Arc<AdminServer>,
    number: u64,
}

impl Place {
    fn take(door: &Arc<AdminServer>, number: u64) -> Place {
        with(&door.open, |open| *open += 1);
        Place { door: Arc::clone(door), number }
    }

    fn answer(
        &self,
        link: &DeadlineStream<Stream>,
        exchange: &Arc<Dispatcher>,
        lifecycle: &Lifecycle,
    ) -> io::Result<()> {
        let until = Instant::now() + WHOLE_CALL;
        let mut bytes = Vec::new();
        let asked = loop {
            match link.read(&mut bytes, until) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::TimedOut => {
                    break Err(Said::new(408, format!("no whole call within {} s", WHOLE_CALL.as_secs())));
                }
                Err(error) => return Err(error),
            }
            if let Some(asked) = codec::call(&bytes) {
                break asked;
            }
        };
        // It is being answered: it gives way to nobody any more.
        with(&self.door.waiting, |waiting| waiting.remove(&self.number));
        let said = asked.and_then(|call| carry_out(call, exchange, lifecycle)).unwrap_or_else(|said| said);
        link.write(&said.words(), Instant::now() + ANSWER)?;
        link.end_writing();
        let (until, mut lingered) = (Instant::now() + LINGER, 0);
        while lingered < MAX_LINGER {
            bytes.clear();
            match link.read(&mut bytes, until)? {
                0 => break,
                count => lingered += count,
            }
        }
        Ok(())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        with(&self.door.waiting, |waiting| waiting.remove(&self.number));
        with(&self.door.open, |open| *open -= 1);
    }
}

/// Puts a call to whom it concerns: this process, then the other one, if there are two.
fn carry_out(call: Call, exchange: &Arc<Dispatcher>, lifecycle: &Lifecycle) -> Result<Said, Said> {
    let (order, text) = match call {
        Call::Ready => {
            return if lifecycle.is_ready() {
                Ok(Said::new(200, "ready"))
            } else {
                Err(Said::new(503, lifecycle.why_not_ready()))
            };
        }
        Call::Fleet => return report(lifecycle),
        Call::Policy => return policy(lifecycle).map(|policy| Said::answer(policy.standing())),
        Call::Drift => return policy(lifecycle).map(|policy| Said::answer(policy.drift())),
        Call::Restore => return policy(lifecycle).map(|policy| Said::answer(policy.restore())),
        Call::Propose(body) => return policy(lifecycle).map(|policy| Said::answer(policy.propose(&body))),
        Call::Change(id) => return policy(lifecycle).map(|policy| Said::answer(policy.change(&id))),
        Call::Offline(id) => {
            exchange.enter_maintenance(&id).map_err(|error| refused(&error))?;
            let text = format!("{id} is out: nothing more goes there until it is called back");
            (ControlCommand::Offline(id), text)
        }
        Call::Online(id) => {
            exchange.leave_maintenance(&id).map_err(|error| refused(&error))?;
            let text = format!("{id} may serve as far as discovery lists it as ready");
            (ControlCommand::Online(id), text)
        }
        Call::OutOfService => {
            (ControlCommand::Service(false), "out of service: clients are sent away".to_owned())
        }
        Call::InService => (ControlCommand::Service(true), "in service".to_owned()),
    };
    if let ControlCommand::Service(into) = order {
        lifecycle.serve(into).map_err(|Stopping| Said::new(409, "this process stops"))?;
    }
    lifecycle.takeover().relay(order).map_err(|why| Said::new(503, format!("done here only: {why}")))?;
    Ok(Said::new(200, text))
}

fn policy(lifecycle: &Lifecycle) -> Result<&Arc<Policy>, Said> {
    lifecycle.policy().ok_or_else(|| Said::new(404, "no common policy is configured, or it starts"))
}

fn report(lifecycle: &Lifecycle) -> Result<Said, Said> {
    let fleet = lifecycle.fleet().ok_or_else(|| Said::new(404, "no fleet is configured"))?;
    let report = fleet.report();
    report.map(Said::json).ok_or_else(|| Said::new(503, "this process does not speak in the fleet: it starts or stops, or the other process of this proxy speaks"))
}

fn refused(error: &MaintenanceError) -> Said {
    let status = match error {
        MaintenanceError::NeverListed(_) => 404,
        MaintenanceError::Origin(_) | MaintenanceError::TooMany => 409,
    };
    Said::new(status, error.to_string())
}

fn with<S, T>(state: &Mutex<S>, act: impl FnOnce(&mut S) -> T) -> T {
    act(&mut state.lock().unwrap_or_else(PoisonError::into_inner))
}
