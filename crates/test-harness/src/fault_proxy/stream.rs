//! A relay for connections on one directed way: from a proxy to what it calls.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct State {
    cut: bool,
    delay: Duration,
    open: Vec<TcpStream>,
}

/// The relay.
#[derive(Clone)]
pub struct StreamFaultProxy {
    /// Where it takes connections.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl StreamFaultProxy {
    /// A relay to this place.
    pub fn to(target: SocketAddr) -> StreamFaultProxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let place = listener.local_addr().unwrap();
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let carrying = Arc::clone(&state);
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let state = Arc::clone(&carrying);
                thread::spawn(move || {
                    hold(&state);
                    // Nobody there: the connection breaks, as it would without a relay.
                    let Ok(far) = TcpStream::connect(target) else { return };
                    let ends = [near.try_clone(), far.try_clone()];
                    state.0.lock().unwrap().open.extend(ends.into_iter().flatten());
                    let (Ok(from), Ok(to)) = (near.try_clone(), far.try_clone()) else { return };
                    let there = Arc::clone(&state);
                    thread::spawn(move || carry(from, to, &there));
                    carry(far, near, &state);
                });
            }
        });
        StreamFaultProxy { address: place, state }
    }

    /// Nothing passes any more, and nobody is told; or all that was held back passes.
    pub fn cut(&self, cut: bool) {
        self.state.0.lock().unwrap().cut = cut;
        self.state.1.notify_all();
    }

    /// What passes takes so much longer.
    pub fn delay(&self, delay: Duration) {
        self.state.0.lock().unwrap().delay = delay;
    }

    /// Breaks what is open.
    pub fn reset(&self) {
        let open = std::mem::take(&mut self.state.0.lock().unwrap().open);
        // They may have ended by themselves.
        for stream in &open {
            drop(stream.shutdown(Shutdown::Both));
        }
    }
}

/// Waits while the way is cut; how much longer it takes then.
fn hold(state: &(Mutex<State>, Condvar)) -> Duration {
    let guard = state.1.wait_while(state.0.lock().unwrap(), |state| state.cut).unwrap();
    guard.delay
}

fn carry(mut from: TcpStream, mut to: TcpStream, state: &(Mutex<State>, Condvar)) {
    let mut room = vec![0; 16 * 1024];
    loop {
        let count = from.read(&mut room).unwrap_or(0);
        let delay = hold(state);
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        if count == 0 || to.write_all(&room[..count]).is_err() {
            // Either may have ended by itself.
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
    }
}
