//! A fault-injecting proxy for the connections from a proxy under test to one server that it calls:
//! [`StreamFaultProxy`].

use super::{forward, read_some, COPY_BUFFER_BYTES};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

#[derive(Default)]
struct State {
    /// Whether all data is held back.
    partitioned: bool,
    /// Both streams of every connection that was opened since the last reset.
    open: Vec<TcpStream>,
}

#[derive(Default)]
struct Shared {
    /// Guards the partition and the list of open connections.
    state: Mutex<State>,
    /// Notified when a partition begins or ends.
    partition_changed: Condvar,
}

impl Shared {
    /// Waits until there is no partition.
    fn wait_while_partitioned(&self) {
        let mut state = self.state.lock().unwrap();
        while state.partitioned {
            state = self.partition_changed.wait(state).unwrap();
        }
    }
}

/// A fault-injecting proxy in front of one server. Its listener runs until the test's process ends,
/// the threads of a connection until the connection ends. Clones control the same proxy.
#[derive(Clone)]
pub struct StreamFaultProxy {
    /// The address at which the proxy accepts connections.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl StreamFaultProxy {
    /// Starts a proxy in front of the server at `target`.
    ///
    /// # Panics
    /// If the proxy cannot listen.
    pub fn start(target: SocketAddr) -> StreamFaultProxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared: Arc<Shared> = Arc::default();
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || serve(client, target, &shared));
            }
        });
        StreamFaultProxy { address, shared }
    }

    /// Starts to hold back all data, without closing connections.
    ///
    /// # Panics
    /// If a thread of the proxy has panicked.
    pub fn partition(&self) {
        self.set_partitioned(true);
    }

    /// Forwards data again, beginning with the bytes that were held back.
    ///
    /// # Panics
    /// If a thread of the proxy has panicked.
    pub fn heal(&self) {
        self.set_partitioned(false);
    }

    fn set_partitioned(&self, partitioned: bool) {
        self.shared.state.lock().unwrap().partitioned = partitioned;
        self.shared.partition_changed.notify_all();
    }

    /// Breaks all open connections.
    ///
    /// # Panics
    /// If a thread of the proxy has panicked.
    pub fn reset(&self) {
        let open = std::mem::take(&mut self.shared.state.lock().unwrap().open);
        for stream in open {
            // An error is ignored: the connection may have ended on its own.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves one connection until either end closes it.
fn serve(client: TcpStream, target: SocketAddr, shared: &Arc<Shared>) {
    shared.wait_while_partitioned();
    // If the server does not listen, the client's connection closes, as without this proxy.
    let Ok(server) = TcpStream::connect(target) else { return };
    let ends = [client.try_clone(), server.try_clone()];
    shared.state.lock().unwrap().open.extend(ends.into_iter().flatten());
    let (Ok(client_input), Ok(server_output)) = (client.try_clone(), server.try_clone()) else { return };
    let copying = Arc::clone(shared);
    thread::spawn(move || copy(client_input, server_output, &copying));
    copy(server, client, shared);
}

/// Copies one direction of a connection until it ends.
fn copy(mut from: TcpStream, mut to: TcpStream, shared: &Shared) {
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    loop {
        let length = read_some(&mut from, &mut buffer);
        shared.wait_while_partitioned();
        if !forward(&buffer[..length], &from, &mut to) {
            return;
        }
    }
}
