//! How a deployment meets the troubles of a day.

use std::thread;
use std::time;

use nix::sys::signal::Signal;

use super::troubles::{Kind, Trouble};
use super::{Callers, Fleet, ZONES, desired};
use crate::standin::Behavior;
use crate::standin::path::Mode;

impl Fleet {
    /// Applies `trouble` and, after its time, takes it back.
    pub(super) fn play(&self, trouble: &Trouble) {
        let span = trouble.span;
        let upstreams = || trouble.chosen.iter().filter_map(|index| self.upstreams.get(*index));
        let hosts = || trouble.chosen.iter().filter_map(|index| self.hosts.get(*index));
        let set_paths = |mode| hosts().for_each(|host| host.entrance.set_paths(mode));
        match trouble.kind {
            Kind::Behave(behavior) => {
                upstreams().for_each(|(name, _)| self.standin.behavior(name, behavior));
                thread::sleep(span);
                upstreams().for_each(|(name, _)| self.standin.behavior(name, Behavior::SlowEvents));
            }
            Kind::FreezeUpstreams => upstreams().for_each(|(_, upstream)| upstream.freeze(span)),
            Kind::Disrupt(disruption) => {
                hosts().for_each(|host| host.entrance.disrupt_paths(disruption));
            }
            Kind::HoldConnections { eighths, refuses_ms } => {
                let set = |mode| {
                    for (host, (name, _)) in self
                        .hosts
                        .iter()
                        .flat_map(|host| upstreams().map(move |upstream| (host, upstream)))
                    {
                        host.entrance.set_path(name, mode);
                    }
                };
                let refuses = time::Duration::from_millis(refuses_ms);
                let until = time::Instant::now() + span;
                while time::Instant::now() < until {
                    set(Mode::Held { eighths, refuses: false });
                    thread::sleep(time::Duration::from_secs(4) - refuses);
                    if !refuses.is_zero() {
                        set(Mode::Held { eighths, refuses: true });
                        thread::sleep(refuses);
                    }
                }
                set(Mode::Open);
            }
            Kind::RefusePaths => {
                set_paths(Mode::Reset);
                thread::sleep(span);
                set_paths(Mode::Open);
            }
            Kind::CutPaths => {
                set_paths(Mode::Silent);
                thread::sleep(span);
                set_paths(Mode::Open);
            }
            Kind::FreezeHosts => {
                hosts().for_each(|host| host.signal(Signal::SIGSTOP));
                thread::sleep(span);
                hosts().for_each(|host| host.signal(Signal::SIGCONT));
            }
            Kind::FreezeAndKillHosts => {
                hosts().for_each(|host| host.signal(Signal::SIGSTOP));
                thread::sleep(span);
                thread::scope(|scope| {
                    for host in hosts() {
                        scope.spawn(|| host.restart(&self.standin, Signal::SIGKILL));
                    }
                });
            }
            Kind::SlowHosts => thread::scope(|scope| {
                let until = time::Instant::now() + span;
                for host in hosts() {
                    scope.spawn(move || {
                        while time::Instant::now() < until {
                            host.signal(Signal::SIGSTOP);
                            thread::sleep(time::Duration::from_millis(300));
                            host.signal(Signal::SIGCONT);
                            thread::sleep(time::Duration::from_millis(90));
                        }
                    });
                    thread::sleep(time::Duration::from_millis(70));
                }
            }),
            Kind::CutHosts => {
                let set_cut = |is_cut| {
                    for host in hosts() {
                        let others =
                            self.settings.hosts.iter().filter(|other| **other != host.name);
                        others.for_each(|other| self.mesh.set_cut(host.name, other, is_cut));
                    }
                };
                set_cut(true);
                thread::sleep(span);
                set_cut(false);
            }
            Kind::CutZone(zone, mode) => {
                self.set_zone_paths(zone, mode, true);
                thread::sleep(span);
                self.set_zone_paths(zone, Mode::Open, false);
            }
            Kind::LeaveInTurn => {
                for index in &trouble.chosen {
                    self.register(*index, ("draining", 3));
                    thread::sleep(span / 8);
                    self.register(*index, ("ready", 4));
                }
            }
            Kind::RemoveService => {
                let mut without = desired(self.settings, 2);
                let routes = without["Routes"].as_array_mut().unwrap();
                routes.retain(|route| route["Service"] != "app");
                without["Services"].as_array_mut().unwrap().retain(|of| of["Name"] != "app");
                self.standin.put("op", "config", &without);
                thread::sleep(span);
                self.standin.put("op", "config", &desired(self.settings, 3));
            }
            Kind::RestartTogether(signal) => thread::scope(|scope| {
                for host in hosts() {
                    scope.spawn(|| host.restart(&self.standin, signal));
                }
            }),
            Kind::RestartInTurn(signal) => thread::scope(|scope| {
                for host in hosts() {
                    scope.spawn(|| host.restart(&self.standin, signal));
                    thread::sleep(span / 8);
                }
            }),
            Kind::StoreDown => {
                self.standin.set_down(true);
                thread::sleep(span);
                self.standin.set_down(false);
            }
            Kind::StoreTurnsAway => {
                hosts().for_each(|host| host.entrance.set_closed(true));
                thread::sleep(span);
                hosts().for_each(|host| host.entrance.set_closed(false));
            }
            Kind::LateDatagrams(millis) => {
                self.mesh.set_delay(time::Duration::from_millis(millis));
                thread::sleep(span);
                self.mesh.set_delay(time::Duration::ZERO);
            }
            Kind::Crowd(zone) => self.change_callers(
                span,
                |callers| callers.zone = Some(zone),
                |callers| callers.zone = None,
            ),
            Kind::Load(percent) => self.change_callers(
                span,
                |callers| callers.load = percent,
                |callers| callers.load = 100,
            ),
            Kind::CallersRepeat => self.change_callers(
                span,
                |callers| callers.repeat_at_once = true,
                |callers| callers.repeat_at_once = false,
            ),
            Kind::CallersLeave => self.change_callers(
                span,
                |callers| callers.leave = true,
                |callers| callers.leave = false,
            ),
        }
    }

    /// Changes the behavior of callers for `span`.
    fn change_callers<Change, Restore>(
        &self,
        span: time::Duration,
        change: Change,
        restore: Restore,
    ) where
        Change: FnOnce(&mut Callers),
        Restore: FnOnce(&mut Callers),
    {
        change(&mut self.callers.lock().unwrap());
        thread::sleep(span);
        restore(&mut self.callers.lock().unwrap());
    }

    /// Sets the paths between `zone` and the others: those to upstreams to `mode`, and whether datagrams
    /// between hosts are lost.
    fn set_zone_paths(&self, zone: &str, mode: Mode, is_cut: bool) {
        for host in &self.hosts {
            let is_in = host.zone() == zone;
            for (number, (name, _)) in self.upstreams.iter().enumerate() {
                if is_in != (ZONES[number % 3] == zone) {
                    host.entrance.set_path(name, mode);
                }
            }
            let others = self.hosts.iter().filter(|other| is_in != (other.zone() == zone));
            others.for_each(|other| self.mesh.set_cut(host.name, other.name, is_cut));
        }
    }
}
