//! One watch: from its connection to its end.

use super::lists::Lists;
use super::{Discovery, Ended};
use crate::interface::ListForm;
use crate::net::codec::Parsed;
use crate::net::config::Catalog;
use crate::net::http::{self, Body, Head};
use crate::net::link::Link;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A call that waits longer than this for its connection has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// A line, if only an empty one, comes every 2 s: a watch that is silent for longer is dead.
const SILENCE: Duration = Duration::from_millis(3000);
/// The longest list of a watch.
const MAX_LIST: usize = 1 << 20;

impl Discovery {
    /// Watches until that fails or ends.
    pub(super) fn watch(
        &mut self,
        address: &SocketAddr,
        moves: u64,
    ) -> Result<std::convert::Infallible, Ended> {
        let link = Link::connect(address, CONNECT_TIMEOUT).map_err(|_| "no connection")?;
        let current = self.target.with(|watched| {
            watched.link = Some(link.clone());
            watched.moves == moves
        });
        if !current {
            return Err("moved");
        }
        let path = format!("/catalog/members?watch=1&after={}", self.generation);
        let words = http::request(&path, &address.to_string(), &[], None);
        link.write(&words, Instant::now() + SILENCE).map_err(|_| "the request was not written")?;
        let mut bytes = Vec::new();
        let head = head(&link, &mut bytes)?;
        if head.status != 200 || head.body != Body::Chunked {
            return Err("turned away");
        }
        let mut lists = Lists::new(MAX_LIST);
        // When what lies there, not whole, began to come.
        let mut begun = None;
        loop {
            loop {
                let used = match http::chunk(&bytes, MAX_LIST) {
                    Parsed::Incomplete => break,
                    Parsed::Malformed(why, _) => return Err(why),
                    Parsed::Whole([], _) => return Err("ended"),
                    Parsed::Whole(part, used) => {
                        lists.push(part)?;
                        used
                    }
                };
                bytes.drain(..used);
            }
            while let Some(list) = lists.next()? {
                begun = None;
                self.hear(list)?;
            }
            if bytes.len() > 2 * MAX_LIST {
                return Err("a list too long");
            }
            // Danger: a list that trickles in keeps the watch from silence, and is never told.
            if lists.is_empty() && bytes.is_empty() {
                begun = None;
            } else {
                begun.get_or_insert_with(Instant::now);
            }
            read(&link, &mut bytes, begun.unwrap_or_else(Instant::now) + SILENCE)?;
        }
    }

    fn hear(&mut self, catalog: Catalog) -> Result<(), Ended> {
        // Danger: changes that are older than what is known would undo it, and a discovery that has begun again
        // counts from below: all its news would go unheard. It is asked for the whole list.
        if !catalog.reset && catalog.generation < self.generation {
            self.generation = 0;
            return Err("its generation is older than the one known");
        }
        let form = if catalog.reset { ListForm::Full } else { ListForm::Delta };
        self.generation = catalog.generation;
        self.counters.lists.add();
        self.tell(form, catalog.instances);
        Ok(())
    }
}

/// The head of discovery's answer, which has to be whole in time.
fn head(link: &Link, bytes: &mut Vec<u8>) -> Result<Head, Ended> {
    let until = Instant::now() + SILENCE;
    loop {
        read(link, bytes, until)?;
        match http::head(bytes) {
            Parsed::Incomplete => {}
            Parsed::Malformed(why, _) => return Err(why),
            Parsed::Whole(head, used) => {
                bytes.drain(..used);
                return Ok(head);
            }
        }
    }
}

fn read(link: &Link, bytes: &mut Vec<u8>, until: Instant) -> Result<(), Ended> {
    match link.read(bytes, until) {
        Ok(0) => Err("the connection ended"),
        Ok(_) => Ok(()),
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => Err("silent for too long"),
        Err(_) => Err("the connection broke"),
    }
}
