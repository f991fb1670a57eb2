//! Conversions between messages and the types of lagoonline.

use lagoonline::control::document;
use lagoonline::control::membership;
use lagoonline::control::replication;
use lagoonline::id;
use lagoonline::port::engine;

use super::message;

/// Encodes versions.
///
/// ```
/// use lagoon_net::wire;
/// let versions = [("a".into(), lagoonline::id::Version(3))].into();
/// assert_eq!(wire::decode_versions(&wire::encode_versions(&versions)), versions);
/// ```
pub fn encode_versions(versions: &replication::Versions) -> Vec<message::TeamVersion> {
    let encode = |(team, version): (&id::Team, &id::Version)| message::TeamVersion {
        team: team.to_string(),
        version: version.0,
    };
    versions.iter().map(encode).collect()
}

/// Decodes versions.
pub fn decode_versions(versions: &[message::TeamVersion]) -> replication::Versions {
    let decode = |entry: &message::TeamVersion| {
        (id::Team::from(entry.team.as_str()), id::Version(entry.version))
    };
    versions.iter().map(decode).collect()
}

/// Encodes a section with its full text.
pub fn encode_section(section: &document::Section) -> message::Section {
    message::Section {
        team: section.team.to_string(),
        version: section.version.0,
        text: section.text.to_string(),
        deltas: Vec::new(),
    }
}

/// Encodes a section as deltas from a version that the receiver has.
pub fn encode_section_deltas(
    section: &document::Section,
    deltas: &[document::Delta],
) -> message::Section {
    message::Section {
        team: section.team.to_string(),
        version: section.version.0,
        text: String::new(),
        deltas: deltas.iter().map(encode_delta).collect(),
    }
}

fn encode_delta(delta: &document::Delta) -> message::Delta {
    let offset = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    let step = |step: &document::Step| match step {
        document::Step::Copy { start, length } => message::DeltaStep {
            text: String::new(),
            start: offset(*start),
            length: offset(*length),
        },
        document::Step::Insert(text) => {
            message::DeltaStep { text: text.clone(), ..message::DeltaStep::default() }
        }
    };
    message::Delta {
        from: delta.from.0,
        to: delta.to.0,
        hash: delta.hash.to_vec().into(),
        steps: delta.steps.iter().map(step).collect(),
    }
}

/// Decodes the deltas of a section. A malformed hash becomes one that matches no text.
pub fn decode_deltas(section: &message::Section) -> Vec<document::Delta> {
    let step = |step: &message::DeltaStep| {
        if step.text.is_empty() {
            let (start, length) = (step.start as usize, step.length as usize);
            return document::Step::Copy { start, length };
        }
        document::Step::Insert(step.text.clone())
    };
    let delta = |delta: &message::Delta| document::Delta {
        from: id::Version(delta.from),
        to: id::Version(delta.to),
        hash: delta.hash.as_ref().try_into().unwrap_or_default(),
        steps: delta.steps.iter().map(step).collect(),
    };
    section.deltas.iter().map(delta).collect()
}

/// Decodes a report of an entry process.
pub fn decode_report(status: &message::Status) -> replication::Report {
    replication::Report {
        zone: id::Zone::from(status.zone.as_str()),
        incarnation: id::Incarnation(status.incarnation),
        sequence: status.number,
        entry_down: status.gone,
        ready: status.ready,
        draining: status.draining,
        in_flight: status.in_flight,
        in_force: decode_versions(&status.in_force),
    }
}

/// Encodes a report of an entry process.
pub fn encode_status(host: &id::Host, report: &replication::Report) -> message::Status {
    message::Status {
        host: host.to_string(),
        zone: report.zone.to_string(),
        incarnation: report.incarnation.0,
        ready: report.ready,
        draining: report.draining,
        in_flight: report.in_flight,
        in_force: encode_versions(&report.in_force),
        number: report.sequence,
        gone: report.entry_down,
        changes: false,
    }
}

/// Decodes membership updates; members with a malformed address are left out.
pub fn decode_members(members: &message::Members) -> Vec<membership::Update> {
    let member = |member: &message::Member| {
        Some(membership::Update::Member(membership::Member {
            host: id::Host::from(member.host.as_str()),
            zone: id::Zone::from(member.zone.as_str()),
            address: member.address.parse().ok()?,
            incarnation: id::Incarnation(member.incarnation),
        }))
    };
    let vote = |vote: &message::Vote| {
        membership::Update::Vote(membership::Vote {
            voter: id::Host::from(vote.by.as_str()),
            voter_incarnation: id::Incarnation(vote.by_incarnation),
            sequence: vote.number,
            host: id::Host::from(vote.host.as_str()),
            incarnation: id::Incarnation(vote.incarnation),
            against: vote.against,
        })
    };
    let all = members.members.iter().filter_map(member);
    all.chain(members.votes.iter().map(vote)).collect()
}

/// Encodes membership updates.
pub fn encode_members(updates: &[membership::Update]) -> message::Members {
    let mut message = message::Members::default();
    for item in updates {
        match item {
            membership::Update::Member(member) => message.members.push(message::Member {
                host: member.host.to_string(),
                zone: member.zone.to_string(),
                address: member.address.to_string(),
                incarnation: member.incarnation.0,
            }),
            membership::Update::Vote(vote) => message.votes.push(message::Vote {
                by: vote.voter.to_string(),
                by_incarnation: vote.voter_incarnation.0,
                number: vote.sequence,
                host: vote.host.to_string(),
                incarnation: vote.incarnation.0,
                against: vote.against,
            }),
        }
    }
    message
}

/// Encodes a load that was read `age_ms` milliseconds ago.
pub fn encode_load(
    upstream: &id::Upstream,
    load: &engine::LoadReport,
    age_ms: u64,
) -> message::Load {
    message::Load {
        upstream: upstream.to_string(),
        running: load.running,
        waiting: load.waiting,
        prefill_tokens: load.prefill_tokens,
        kv_free_tokens: load.kv_free_tokens,
        kv_tokens: load.kv_tokens,
        prefill_rate: load.prefill_rate,
        sequence: load.sequence,
        incarnation: load.incarnation,
        age_ms,
    }
}

/// Decodes a load.
pub fn decode_load(load: &message::Load) -> engine::LoadReport {
    engine::LoadReport {
        running: load.running,
        waiting: load.waiting,
        prefill_tokens: load.prefill_tokens,
        kv_free_tokens: load.kv_free_tokens,
        kv_tokens: load.kv_tokens,
        prefill_rate: load.prefill_rate,
        sequence: load.sequence,
        incarnation: load.incarnation,
    }
}
