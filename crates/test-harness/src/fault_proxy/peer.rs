//! Relays for connections between the members of a fleet, on the same ways as their datagrams: by the sender's own address
//! it is known whose way a connection takes.

use crate::fault_proxy::PathView;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(5);
/// So much passes at a time on a way that is throttled.
const PIECE: usize = 256;

/// The relays of one fleet's links.
pub struct PeerFaultProxies {
    open: Arc<Mutex<Vec<(usize, usize, TcpStream)>>>,
}

impl PeerFaultProxies {
    /// Relays at these addresses, for members that listen at those.
    pub(crate) fn new(at: &[SocketAddr], real: &[SocketAddr], look: &PathView) -> PeerFaultProxies {
        let open: Arc<Mutex<Vec<_>>> = Arc::default();
        for (to, place) in at.iter().enumerate() {
            let listener = TcpListener::bind(place).expect("the relay's address is free");
            listener.set_nonblocking(true).unwrap();
            let members: Vec<IpAddr> = real.iter().map(SocketAddr::ip).collect();
            let (target, look, open) = (real[to], look.clone(), Arc::clone(&open));
            thread::spawn(move || {
                while !look.is_over() {
                    match listener.accept() {
                        Ok((near, from)) => {
                            let Some(from) = members.iter().position(|member| *member == from.ip()) else {
                                continue;
                            };
                            let (look, open) = (look.clone(), Arc::clone(&open));
                            thread::spawn(move || join(near, (from, to), target, &look, &open));
                        }
                        Err(error) if error.kind() == ErrorKind::WouldBlock => thread::sleep(LOOK),
                        Err(_) => return,
                    }
                }
            });
        }
        PeerFaultProxies { open }
    }

    /// Breaks all that is open between two members.
    pub fn reset(&self, a: usize, b: usize) {
        self.open.lock().unwrap().retain(|(from, to, stream)| {
            let is_between = (*from, *to) == (a, b) || (*from, *to) == (b, a);
            if is_between {
                // It may have ended by itself.
                let _ = stream.shutdown(Shutdown::Both);
            }
            !is_between
        });
    }
}

fn join(
    near: TcpStream,
    (from, to): (usize, usize),
    target: SocketAddr,
    look: &PathView,
    open: &Mutex<Vec<(usize, usize, TcpStream)>>,
) {
    near.set_nonblocking(false).unwrap();
    // While the way is cut no connection comes to be; who dials gives up.
    while look.path(from, to).partitioned && !look.is_over() {
        thread::sleep(LOOK);
    }
    let Ok(far) = TcpStream::connect(target) else { return };
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
        open.lock().unwrap().extend(stream.try_clone().map(|stream| (from, to, stream)));
    }
    let (Ok(near_in), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { return };
    let there = look.clone();
    thread::spawn(move || carry(near_in, far_out, (from, to), &there));
    carry(far, near, (to, from), look);
}

fn carry(mut from: TcpStream, mut to: TcpStream, (a, b): (usize, usize), look: &PathView) {
    let mut room = vec![0; 16 * 1024];
    loop {
        let throttled = look.path(a, b).throttle.is_some();
        let most = if throttled { PIECE } else { room.len() };
        let count = from.read(&mut room[..most]).unwrap_or(0);
        let mut way = look.path(a, b);
        while way.partitioned && !look.is_over() {
            thread::sleep(LOOK);
            way = look.path(a, b);
        }
        let pass = way.throttle.map_or(0, |bytes| count as u64 * 1000 / bytes.max(1));
        let wait = Duration::from_millis(way.delay.1 + pass);
        if !wait.is_zero() {
            thread::sleep(wait);
        }
        if count == 0 || look.is_over() || to.write_all(&room[..count]).is_err() {
            // Either may have ended by itself.
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
    }
}
