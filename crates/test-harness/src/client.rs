//! Callers of a proxy: a cache client ([`Client`]) and an operator at the admin endpoint
//! ([`call_admin`]).

use crate::recorder::Recorder;
use crate::WAIT_TIMEOUT;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Read timeout of a connection that [`Client::try_connect`] made.
const TRY_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Errors of a read if the connection was reset or no data arrived in time.
const END_OF_INPUT: [ErrorKind; 2] = [ErrorKind::ConnectionReset, ErrorKind::WouldBlock];

/// A client's connection to a proxy. The requests and responses of [`Client::get`] and
/// [`Client::set`] are recorded for the history checker.
pub struct Client {
    reader: BufReader<TcpStream>,
    recorder: Recorder,
}

impl Client {
    /// Connects to a proxy; reads time out after [`WAIT_TIMEOUT`].
    ///
    /// # Panics
    /// If no server listens at the address.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client { reader: BufReader::new(stream), recorder: Recorder::current() }
    }

    /// Connects to a proxy, with a read timeout of one second; `None` if no server listens at the
    /// address.
    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(TRY_READ_TIMEOUT)).ok()?;
        Some(Client { reader: BufReader::new(stream), recorder: Recorder::current() })
    }

    /// Writes text.
    ///
    /// # Panics
    /// If the proxy has closed the connection.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Writes text; returns false if the proxy has closed the connection before all of it was
    /// written.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Returns whether the proxy has closed the connection.
    pub fn is_closed(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        match seen {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Reads the next line. Returns an empty text at the end of the connection or after the read
    /// timeout.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) => line,
            Err(error) if END_OF_INPUT.contains(&error.kind()) => String::new(),
            Err(error) => panic!("cannot read a line from the proxy: {error}"),
        }
    }

    /// Writes a command and reads the first line of its response.
    pub fn request(&mut self, command: &str) -> String {
        self.send(command);
        self.read_line()
    }

    /// Returns the reader of the connection, for responses that are not lines.
    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }

    /// Gets the key `id`. Returns the line of the value, or the line of a response without a value;
    /// `None` if the connection ends first.
    pub fn try_get(&mut self, id: &str) -> Option<String> {
        if !self.try_send(&format!("mg {id} v O{id} Pc=read,t=acme,d=2000\r\n")) {
            return None;
        }
        let line = self.read_line();
        (!line.is_empty()).then(|| if line.starts_with("VA ") { self.read_line() } else { line })
    }

    /// Gets a key with a deadline in milliseconds. Returns the line of the response and the line of
    /// the value; the latter is empty if the response has no value.
    pub fn get(&mut self, key: &str, id: &str, deadline_ms: u32) -> (String, String) {
        self.perform(&format!("mg {key} v O{id} Pc=read,t=acme,d={deadline_ms}\r\n"))
    }

    /// Sets a key with a deadline in milliseconds; returns the line of the response.
    pub fn set(&mut self, class: &str, key: &str, id: &str, deadline_ms: u32) -> String {
        self.perform(&format!("ms {key} 5 O{id} Pc={class},t=acme,d={deadline_ms},k={id}\r\nhello\r\n")).0
    }

    fn perform(&mut self, command: &str) -> (String, String) {
        self.recorder.record_request(command);
        let line = self.request(command);
        let value = if line.starts_with("VA ") { self.read_line() } else { String::new() };
        self.recorder.record_response(command, &line, &value);
        (line, value)
    }

    /// Requests a key, and closes the connection after the time `after` without reading the
    /// response.
    pub fn request_and_disconnect(mut self, key: &str, id: &str, after: Duration) {
        let command = format!("mg {key} v O{id} Pc=read,t=acme,d=2000\r\n");
        self.recorder.record_request(&command);
        self.send(&command);
        thread::sleep(after);
        self.recorder.record_client_gone(&command);
    }
}

/// Calls a proxy's admin endpoint without a body; returns status and body of the response.
pub fn call_admin(admin: SocketAddr, method: &str, path: &str) -> (u16, String) {
    send_to_admin(admin, &format!("{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n"))
}

/// Sends a complete HTTP request to a proxy's admin endpoint; returns status and body of the
/// response.
pub fn send_to_admin(admin: SocketAddr, request: &str) -> (u16, String) {
    let mut client = Client::connect(admin);
    client.send(request);
    let status = client.read_line().split(' ').nth(1).map_or(0, |status| status.parse().unwrap());
    let mut rest = String::new();
    std::io::Read::read_to_string(&mut client.reader, &mut rest).unwrap();
    (status, rest.split_once("\r\n\r\n").map_or(String::new(), |(_, text)| text.to_owned()))
}
