//! What happened around a request: changes of proxies, backends and discovery, stops, and delays of this
//! program. Methods of [`Judge`].

use super::request::Request;
use super::*;
use std::fmt::Write;

impl Judge<'_> {
    /// Returns the latest time at which a proxy learned that a backend is draining, if the backend
    /// is draining at `at`. A process that has started since learns it with its first watch, and
    /// may serve before this program knows that it is ready. After an outage of discovery a proxy
    /// has [`OUTAGE_RECOVERY_TIME`].
    pub(super) fn drain_listed_at(&self, proxy: usize, backend: usize, at: Instant) -> Option<Instant> {
        let since = self.draining_since(backend, at)?;
        let last = |change| self.changes_of(change).filter(|changed| *changed <= at).last();
        let process_since =
            last(Change::Started(proxy)).max(last(Change::Ended(proxy))).max(last(Change::Exited(proxy)));
        let started = process_since.map_or(since, |started| started.max(since));
        match (last(Change::DiscoveryDown), last(Change::DiscoveryUp)) {
            (None, _) => Some(started),
            (Some(down), Some(up)) if up > down && up < since => Some(started),
            (Some(down), Some(up)) if up > down => Some(started.max(up + OUTAGE_RECOVERY_TIME)),
            _ => None,
        }
    }

    /// Returns the time at which a backend was listed as draining, if it is still listed so at
    /// `at`.
    pub(super) fn draining_since(&self, backend: usize, at: Instant) -> Option<Instant> {
        let is_state = |change: &Change| [Change::Draining(backend), Change::Ready(backend)].contains(change);
        let last = self.changes.iter().rfind(|(changed, change)| *changed <= at && is_state(change))?;
        (last.1 == Change::Draining(backend)).then_some(last.0)
    }

    pub(super) fn changes_of(&self, wanted: Change) -> impl Iterator<Item = Instant> + '_ {
        self.changes.iter().filter(move |(_, change)| *change == wanted).map(|(at, _)| *at)
    }

    /// Returns whether a proxy was stopped at the time at which it planned a response to a request
    /// with a short timeout, and wrote the response as soon as it continued. A proxy could only do
    /// better if it responded earlier to all requests.
    pub(super) fn is_explained_by_stop(&self, request: &Request, answered: Instant) -> bool {
        let planned = request.sent + request.timeout.mul_f64(PLANNED_FRACTION);
        let explains = |stop: &Stop| {
            stop.proxy == request.proxy && stop.began <= planned && answered <= stop.ended + CATCH_UP_TIME
        };
        self.stops.iter().any(explains)
    }

    /// Returns the time beyond [`HOLD_UP_DURATION`] for which this program stopped a proxy, as the
    /// sum over the stops that overlap a period.
    pub(super) fn excess_stop(&self, proxy: usize, from: Instant, until: Instant) -> Duration {
        let overlaps = |stop: &&Stop| stop.proxy == proxy && stop.began <= until && stop.ended >= from;
        let stops = self.stops.iter().filter(overlaps);
        stops.map(|stop| stop.ended.duration_since(stop.began).saturating_sub(HOLD_UP_DURATION)).sum()
    }

    /// Returns the error of a time at which this program sent a signal or published an endpoint
    /// list.
    pub(super) fn tolerance(&self, at: Instant) -> Duration {
        let from = at.checked_sub(DELAY_WINDOW).unwrap_or(self.began);
        let first = self.delays.partition_point(|(delayed, _)| *delayed < from);
        let until = at + DELAY_WINDOW;
        let near = self.delays[first..].iter().take_while(|(delayed, _)| *delayed <= until);
        CLOCK_TOLERANCE + near.map(|(_, delay)| *delay).max().unwrap_or_default()
    }

    /// Returns all that is known of a request in the order of time: observations, log lines of the
    /// proxy, and the changes and stops around them.
    pub(super) fn timeline(&self, id: &str) -> String {
        let own = self.observations.iter().filter(|(_, seen_id, _)| seen_id == id);
        let mut lines: Vec<(Instant, String)> =
            own.map(|(at, _, observation)| (*at, format!("{observation:?}"))).collect();
        lines.extend(self.logs.lines_of(id).into_iter().map(|line| (line.at, format!("log: {}", line.text))));
        let first = lines.iter().map(|(at, _)| *at).min().unwrap_or(self.began);
        let last = lines.iter().map(|(at, _)| *at).max().unwrap_or(self.ended);
        let from = first.checked_sub(CHANGES_SHOWN_BEFORE).unwrap_or(first);
        let changes = self.changes.iter().filter(|(at, _)| *at >= from && *at <= last);
        lines.extend(changes.map(|(at, change)| (*at, format!("change: {change:?}"))));
        let stops = self.stops.iter().filter(|stop| stop.ended >= first && stop.began <= last);
        lines.extend(stops.map(|stop| {
            let lasted = stop.ended.duration_since(stop.began);
            (stop.began, format!("proxy {} is stopped for {lasted:?}", stop.proxy))
        }));
        lines.sort_by_key(|(at, _)| *at);
        let began = self.began;
        let mut timeline = String::new();
        for (at, line) in lines {
            let at = at.saturating_duration_since(began).as_secs_f64();
            // Writing to a string does not fail.
            let _ = writeln!(timeline, "    {at:8.4} {line}");
        }
        timeline
    }
}
