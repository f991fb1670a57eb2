//! Command-line tool for benchmarks, load tests and soak tests.

use std::error;
use std::fs;
use std::net;
use std::path;
use std::process;

use lagoon_load::backoffs;
use lagoon_load::bench::arrival;
use lagoon_load::bench::plot;
use lagoon_load::bench::report;
use lagoon_load::bench::scenario;
use lagoon_load::bench::simulation;
use lagoon_load::completeness;
use lagoon_load::departures;
use lagoon_load::direct;
use lagoon_load::http;
use lagoon_load::limits;
use lagoon_load::parts;
use lagoon_load::paths;
use lagoon_load::retries;
use lagoon_load::soak;
use lagoon_net::logs;
use lagoon_net::program;
use lagoonline::check;
use lagoonline::clock;
use lagoonline::load;

/// Load and experiment tool.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Bench(Bench),
    Http(Http),
    Direct(Direct),
    Completeness(Completeness),
    Departures(Departures),
    Backoffs(Backoffs),
    Limits(Limits),
    Parts(Parts),
    Paths(Paths),
    Retries(Retries),
    Soak(Soak),
}

/// Ways of deciding whether a stream is whole whose upstream marked no end, in virtual time.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "completeness")]
struct Completeness {
    /// scenario by name; may be repeated; all by default
    #[argh(option)]
    scenario: Vec<String>,
    /// seeds, from 1
    #[argh(option, default = "5")]
    seeds: u64,
}

/// Ways of deciding which upstreams get requests while some leave, in virtual time.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "departures")]
struct Departures {
    /// scenario by name; may be repeated; all by default
    #[argh(option)]
    scenario: Vec<String>,
    /// seeds, from 1
    #[argh(option, default = "5")]
    seeds: u64,
}

/// Ways of finding parts of prompts that crash engines, in virtual time.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "parts")]
struct Parts {
    /// scenario by name; may be repeated; all by default
    #[argh(option)]
    scenario: Vec<String>,
    /// seeds, from 1
    #[argh(option, default = "3")]
    seeds: u64,
}

/// Ways of serving callers at hosts that lose their paths to upstreams, in virtual time.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "paths")]
struct Paths {
    /// scenario by name; may be repeated; all by default
    #[argh(option)]
    scenario: Vec<String>,
    /// seeds, from 1
    #[argh(option, default = "3")]
    seeds: u64,
}

/// Ways of obeying upstreams that want no requests for a time, in virtual time.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "backoffs")]
struct Backoffs {
    /// scenario by name; may be repeated; all by default
    #[argh(option)]
    scenario: Vec<String>,
    /// seeds, from 1
    #[argh(option, default = "5")]
    seeds: u64,
}

/// Ways of keeping limits that upstreams name on their requests, in virtual time.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "limits")]
struct Limits {
    /// play the scenarios of upstreams that return cold instead
    #[argh(switch)]
    cold: bool,
    /// scenario by name; may be repeated; all by default
    #[argh(option)]
    scenario: Vec<String>,
    /// seeds, from 1
    #[argh(option, default = "5")]
    seeds: u64,
}

/// Ways of keeping a bound on the retries of all hosts together, in virtual time.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "retries")]
struct Retries {
    /// scenario by name; may be repeated; all by default
    #[argh(option)]
    scenario: Vec<String>,
    /// seeds, from 1
    #[argh(option, default = "5")]
    seeds: u64,
}

/// What a running entry host adds to calls and streams, beside the engine itself.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "direct")]
struct Direct {
    /// address of the entry host
    #[argh(option)]
    entry: net::SocketAddr,
    /// process id of the entry host
    #[argh(option)]
    entry_id: u32,
    /// address of the only engine of the model
    #[argh(option)]
    engine: net::SocketAddr,
    /// caller key
    #[argh(option)]
    key: String,
    /// model of the single calls
    #[argh(option)]
    model: String,
    /// model of the streams
    #[argh(option)]
    stream_model: String,
    /// streams at once
    #[argh(option, default = "62")]
    streams: usize,
    /// seconds of streaming
    #[argh(option, default = "20")]
    seconds: u64,
    /// rounds of single calls
    #[argh(option, default = "5")]
    rounds: usize,
}

/// Callers and fault switches against a running fleet of processes. Exit code: 0 only if every
/// check held.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "soak")]
struct Soak {
    /// settings file (JSON)
    #[argh(option)]
    settings: path::PathBuf,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// The decisions under load before fake engines, in virtual time.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "bench")]
struct Bench {
    /// scenario by name; may be repeated; all by default
    #[argh(option)]
    scenario: Vec<String>,
    /// policy by name; may be repeated; all by default
    #[argh(option)]
    policy: Vec<String>,
    /// safeguard of the full policy to turn off; may be repeated
    #[argh(option)]
    off: Vec<String>,
    /// how the full policy picks: shortest or two
    #[argh(option, default = "String::from(\"shortest\")")]
    choice: String,
    /// what the owners weigh: even, lakeshore or vatuwaqa
    #[argh(option, default = "String::from(\"even\")")]
    weights: String,
    /// prefill that an engine may have ahead, in milliseconds
    #[argh(option, default = "150")]
    ahead_ms: u64,
    /// entry hosts of each zone; those of the scenario by default
    #[argh(option)]
    hosts: Option<u32>,
    /// engines of each zone; those of the scenario by default
    #[argh(option)]
    engines: Option<u32>,
    /// share of an engine's memory that cached prefixes are assumed to fill
    #[argh(option)]
    prefix_share: Option<f64>,
    /// seeds, from 1
    #[argh(option, default = "5")]
    seeds: u64,
    /// seconds of arrivals
    #[argh(option, default = "300.0")]
    seconds: f64,
    /// file for the figures; standard output by default
    #[argh(option)]
    json: Option<path::PathBuf>,
    /// file for a plot
    #[argh(option)]
    svg: Option<path::PathBuf>,
    /// figure of the plot
    #[argh(option, default = "String::from(\"short_p95_ms\")")]
    figure: String,
}

/// Entry hosts with their stewards before stand-in engines on loopback, called by HTTP.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "http")]
struct Http {
    /// scenario by name; may be repeated; all by default
    #[argh(option)]
    scenario: Vec<String>,
    /// policy by name; may be repeated; all by default
    #[argh(option)]
    policy: Vec<String>,
    /// engines of the one zone
    #[argh(option, default = "6")]
    engines: u32,
    /// entry hosts of the zone
    #[argh(option, default = "3")]
    hosts: u32,
    /// seeds, from 1
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds of arrivals, at most 60
    #[argh(option, default = "40.0")]
    seconds: f64,
    /// file for the figures; standard output by default
    #[argh(option)]
    json: Option<path::PathBuf>,
    /// file for a plot
    #[argh(option)]
    svg: Option<path::PathBuf>,
    /// figure of the plot
    #[argh(option, default = "String::from(\"short_p95_ms\")")]
    figure: String,
}

/// Maximum duration of the arrivals of an `http` run, in seconds. With the deadlines of its last
/// calls, the run ends within two minutes.
const MAX_HTTP_SECONDS: f64 = 60.0;

/// A name on the command line that does not exist.
#[derive(Debug, thiserror::Error)]
#[error("unknown {kind} {name:?}")]
struct UnknownName {
    kind: &'static str,
    name: String,
}

const PROGRAM: &str = "lagoon-load";

fn main() -> process::ExitCode {
    let args: Args = match program::arguments(PROGRAM) {
        Ok(args) => args,
        Err(code) => return code,
    };
    let result = match args.command {
        Command::Bench(bench) => run_bench(&bench).map(|()| true),
        Command::Http(http) => run_http(&http).map(|()| true),
        Command::Direct(direct) => run_direct(direct).map(|()| true),
        Command::Completeness(completeness) => run_completeness(&completeness).map(|()| true),
        Command::Departures(departures) => run_departures(&departures).map(|()| true),
        Command::Backoffs(backoffs) => run_backoffs(&backoffs).map(|()| true),
        Command::Limits(limits) => run_limits(&limits).map(|()| true),
        Command::Parts(parts) => run_parts(&parts).map(|()| true),
        Command::Paths(paths) => run_paths(&paths).map(|()| true),
        Command::Retries(retries) => run_retries(&retries).map(|()| true),
        Command::Soak(soak) => run_soak(&soak),
    };
    match result {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(error) => {
            let usage = error.is::<UnknownName>() || error.is::<check::Faults>();
            if usage { program::bad_usage(&error) } else { program::failed(PROGRAM, &error) }
        }
    }
}

/// Runs a soak, prints its report, and returns whether every check passed.
fn run_soak(soak: &Soak) -> Result<bool, Box<dyn error::Error>> {
    let settings = check::parse(&fs::read_to_string(&soak.settings)?, soak::Settings::read)?;
    logs::start(&logs::Settings::default(), PROGRAM)?;
    let report = soak::run(&settings)?;
    if soak.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report}");
    }
    Ok(report.holds)
}

fn run_direct(args: Direct) -> Result<(), Box<dyn error::Error>> {
    let Direct { entry, entry_id, engine, key, model, stream_model, streams, seconds, rounds } =
        args;
    let settings = direct::Settings {
        entry,
        entry_pid: entry_id,
        engine,
        key,
        model,
        stream_model,
        streams,
        seconds,
        rounds,
    };
    let system = ntex::rt::System::new("direct", ntex::rt::DefaultRuntime);
    let figures = system.block_on(async move { direct::run(&settings).await })?;
    println!("{}", serde_json::to_string_pretty(&figures)?);
    Ok(())
}

fn run_bench(bench: &Bench) -> Result<(), Box<dyn error::Error>> {
    let scenarios = scenarios(&bench.scenario)?;
    let policies = policies(&bench.policy)?;
    let safeguards = safeguards(&bench.off)?;
    let weights = weights(&bench.weights)?;
    let choice = choice(&bench.choice)?;
    let mut rows = Vec::new();
    for scenario in &scenarios {
        let scenario = &scenario::Scenario {
            hosts: bench.hosts.unwrap_or(scenario.hosts).max(1),
            engines: bench.engines.unwrap_or(scenario.engines).max(1),
            ..*scenario
        };
        for &policy in &policies {
            let weights = Some(weights);
            let ahead = clock::Span::from_millis(bench.ahead_ms);
            let mut settings =
                load::Settings { policy, choice, safeguards, weights, ahead, ..Default::default() };
            if let Some(share) = bench.prefix_share {
                settings.prefixes.memory_share = share;
            }
            let runs = (1..=bench.seeds).map(|seed| run_once(scenario, &settings, seed, bench));
            let runs: Vec<_> = runs.collect();
            let off: String = bench.off.iter().map(|name| format!(" -{name}")).collect();
            let name = format!("{}{off}", policy.as_str());
            rows.push(report::summarize(scenario.name, &name, &runs));
        }
    }
    write(&rows, bench.json.as_deref(), bench.svg.as_deref(), &bench.figure)
}

fn run_http(options: &Http) -> Result<(), Box<dyn error::Error>> {
    let all = http::scenarios();
    let policies = policies(&options.policy)?;
    let seconds = options.seconds.clamp(1.0, MAX_HTTP_SECONDS);
    let mut rows = Vec::new();
    for scenario in select_scenarios(&all, &options.scenario)? {
        let (engines, hosts) = (options.engines.max(1), options.hosts.max(1));
        let scenario = scenario::Scenario { engines, hosts, ..scenario };
        for &policy in &policies {
            let load = load::Settings { policy, ..load::Settings::default() };
            let settings = http::Settings { scenario, load, seed: 1, seconds };
            let runs = (1..=options.seeds)
                .map(|seed| http::run(&http::Settings { seed, ..settings.clone() }));
            let runs: Vec<_> = runs.collect::<Result<_, _>>()?;
            rows.push(report::summarize(scenario.name, policy.as_str(), &runs));
            eprintln!("{} {} done", scenario.name, policy.as_str());
        }
    }
    write(&rows, options.json.as_deref(), options.svg.as_deref(), &options.figure)
}

fn write(
    rows: &[report::Row],
    json: Option<&path::Path>,
    svg: Option<&path::Path>,
    figure: &str,
) -> Result<(), Box<dyn error::Error>> {
    let lines: Result<Vec<_>, _> = rows.iter().map(serde_json::to_string).collect();
    let text = format!("[\n{}\n]\n", lines?.join(",\n"));
    match json {
        Some(file) => fs::write(file, text)?,
        None => println!("{text}"),
    }
    if let Some(file) = svg {
        plot::draw_bars(file, figure, rows)?;
    }
    Ok(())
}

fn run_once(
    scenario: &scenario::Scenario,
    settings: &load::Settings,
    seed: u64,
    bench: &Bench,
) -> report::Tally {
    let arrivals = arrival::draw(scenario, seed, bench.seconds);
    // Each host adds its index to the seed.
    let settings = load::Settings { seed: seed * 1_000, ..settings.clone() };
    simulation::Simulation::new(scenario, &arrivals, &settings, bench.seconds).run()
}

fn scenarios(names: &[String]) -> Result<Vec<scenario::Scenario>, UnknownName> {
    select_scenarios(&scenario::all(), names)
}

fn select_scenarios(
    all: &[scenario::Scenario],
    names: &[String],
) -> Result<Vec<scenario::Scenario>, UnknownName> {
    if names.is_empty() {
        return Ok(all.to_vec());
    }
    let find = |name: &String| {
        let found = all.iter().find(|scenario| scenario.name == name);
        found.copied().ok_or_else(|| UnknownName { kind: "scenario", name: name.clone() })
    };
    names.iter().map(find).collect()
}

fn policies(names: &[String]) -> Result<Vec<load::Policy>, UnknownName> {
    if names.is_empty() {
        return Ok(load::Policy::ALL.to_vec());
    }
    let find = |name: &String| {
        let found = load::Policy::ALL.into_iter().find(|policy| policy.as_str() == name);
        found.ok_or_else(|| UnknownName { kind: "policy", name: name.clone() })
    };
    names.iter().map(find).collect()
}

fn safeguards(off: &[String]) -> Result<load::Safeguards, UnknownName> {
    let mut safeguards = load::Safeguards::default();
    for name in off {
        let flag = match name.as_str() {
            "admit" => &mut safeguards.admit,
            "fair" => &mut safeguards.fair,
            "priority" => &mut safeguards.priority,
            "long-bound" => &mut safeguards.long_bound,
            "floor" => &mut safeguards.floor,
            "clear" => &mut safeguards.clear,
            "affinity" => &mut safeguards.affinity,
            "outlier" => &mut safeguards.outlier,
            "ramp" => &mut safeguards.ramp,
            "retry-budget" => &mut safeguards.retry_budget,
            _ => return Err(UnknownName { kind: "safeguard", name: name.clone() }),
        };
        *flag = false;
    }
    Ok(safeguards)
}

fn weights(name: &str) -> Result<load::Weights, UnknownName> {
    match name {
        "even" => Ok(load::Weights::default()),
        // The teams of the example fleet lakeshore value the time to first token most, those of
        // vatuwaqa the slowdown of short requests. The other objective has the default weight, 1.
        "lakeshore" => Ok(load::Weights { first_token: [4.0; 4], short_slowdown: 1.0 }),
        "vatuwaqa" => Ok(load::Weights { first_token: [1.0; 4], short_slowdown: 4.0 }),
        _ => Err(UnknownName { kind: "weights", name: name.to_owned() }),
    }
}

fn choice(name: &str) -> Result<load::Choice, UnknownName> {
    match name {
        "shortest" => Ok(load::Choice::Shortest),
        "two" => Ok(load::Choice::Two),
        _ => Err(UnknownName { kind: "choice", name: name.to_owned() }),
    }
}

/// Returns the scenarios that are named in `names`, or all if there are no names.
fn select<Scenario, Name>(
    mut scenarios: Vec<Scenario>,
    names: &[String],
    name_of: Name,
) -> Result<Vec<Scenario>, UnknownName>
where
    Name: Fn(&Scenario) -> &'static str,
{
    let is_known = |name: &String| scenarios.iter().any(|scenario| name_of(scenario) == *name);
    if let Some(name) = names.iter().find(|name| !is_known(name)) {
        return Err(UnknownName { kind: "scenario", name: name.clone() });
    }
    let is_wanted = |scenario: &Scenario| names.iter().any(|name| *name == name_of(scenario));
    scenarios.retain(|scenario| names.is_empty() || is_wanted(scenario));
    Ok(scenarios)
}

/// Plays the scenarios of broken streams with each way, and prints the sums of the figures over all
/// seeds, and the quantiles of the times from a cut to the next event.
fn run_completeness(args: &Completeness) -> Result<(), Box<dyn error::Error>> {
    let scenarios = select(completeness::all(), &args.scenario, |scenario| scenario.name)?;
    println!(
        "scenario way streams cut marked_short doubtful_short whole_as_broken broken in_time late \
         resumed resumed_whole tokens_again_k probes connections_closed gap_p50_ms gap_p99_ms"
    );
    for scenario in &scenarios {
        for way in completeness::Way::ALL {
            let reports: Vec<_> =
                (1..=args.seeds).map(|seed| completeness::run(scenario, way, seed)).collect();
            print_completeness(scenario.name, way, &reports);
        }
    }
    Ok(())
}

fn print_completeness(scenario: &str, way: completeness::Way, reports: &[completeness::Report]) {
    let sum = |figure: fn(&completeness::Report) -> u64| reports.iter().map(figure).sum::<u64>();
    let mut gaps_ms: Vec<_> = reports.iter().flat_map(|report| &report.gaps_ms).copied().collect();
    gaps_ms.sort_unstable();
    let gaps = completeness::Report { gaps_ms, ..Default::default() };
    let gap = |share| gaps.gap_ms(share).map_or("-".to_owned(), |gap| gap.to_string());
    println!(
        "{scenario} {way:?} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {}",
        sum(|report| report.streams),
        sum(|report| report.cut),
        sum(|report| report.marked_short),
        sum(|report| report.doubtful_short),
        sum(|report| report.whole_as_broken),
        sum(|report| report.broken),
        sum(|report| report.in_time),
        sum(|report| report.late),
        sum(|report| report.resumed),
        sum(|report| report.resumed_whole),
        sum(|report| report.tokens_again),
        sum(|report| report.probes),
        sum(|report| report.connections_closed),
        gap(0.5),
        gap(0.99),
    );
}

/// Plays the scenarios of departures with each way, and prints the worst of the times after the
/// acknowledgement and the means of the other figures over all seeds.
fn run_departures(args: &Departures) -> Result<(), Box<dyn error::Error>> {
    let scenarios = select(departures::all(), &args.scenario, |scenario| scenario.name)?;
    println!("scenario way late_ms latest_ms until_none_ms avoided_ms without_any_ms sent_bytes");
    for scenario in &scenarios {
        for way in departures::Way::ALL {
            let reports: Vec<_> =
                (1..=args.seeds).map(|seed| departures::run(scenario, way, seed)).collect();
            print_departures(scenario.name, way, &reports);
        }
    }
    Ok(())
}

fn print_departures(scenario: &str, way: departures::Way, reports: &[departures::Report]) {
    let worst = |figure: fn(&departures::Report) -> u64| reports.iter().map(figure).max();
    let mean = |figure: fn(&departures::Report) -> u64| {
        reports.iter().map(figure).sum::<u64>() / (reports.len() as u64).max(1)
    };
    println!(
        "{scenario} {way:?} {} {} {} {} {} {}",
        mean(|report| report.late_ms),
        worst(|report| report.latest_ms).unwrap_or(0),
        worst(|report| report.until_none_ms).unwrap_or(0),
        mean(|report| report.avoided_ms),
        mean(|report| report.without_any_ms),
        worst(|report| report.sent_bytes).unwrap_or(0),
    );
}

/// Plays the scenarios of backoffs with each way, and prints the means of the figures over all seeds,
/// of the first two the largest.
fn run_backoffs(args: &Backoffs) -> Result<(), Box<dyn error::Error>> {
    let scenarios = select(backoffs::all(), &args.scenario, |scenario| scenario.name)?;
    println!(
        "scenario way late worst callers in_time served_late refused refused_with_room turned_away sent_back messages"
    );
    for scenario in &scenarios {
        for way in backoffs::Way::ALL {
            let reports: Vec<_> =
                (1..=args.seeds).map(|seed| backoffs::run(scenario, way, seed)).collect();
            print_backoffs(scenario.name, way, &reports);
        }
    }
    Ok(())
}

fn print_backoffs(scenario: &str, way: backoffs::Way, reports: &[backoffs::Report]) {
    let worst = |figure: fn(&backoffs::Report) -> u64| reports.iter().map(figure).max();
    let mean = |figure: fn(&backoffs::Report) -> f64| {
        reports.iter().map(figure).sum::<f64>() / reports.len().max(1) as f64
    };
    println!(
        "{scenario} {way:?} {} {} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.3}",
        worst(|report| report.late).unwrap_or(0),
        worst(|report| report.worst).unwrap_or(0),
        mean(|report| report.callers as f64),
        mean(|report| report.in_time as f64),
        mean(|report| report.served_late as f64),
        mean(|report| report.refused as f64),
        mean(|report| report.refused_with_room as f64),
        mean(|report| report.turned_away as f64),
        mean(|report| report.sent_back as f64),
        mean(|report| report.messages),
    );
}

/// Plays the scenarios of limits with each way, and prints the worst excess and the means of the
/// other figures over all seeds.
fn run_limits(args: &Limits) -> Result<(), Box<dyn error::Error>> {
    if args.cold {
        return run_cold(args);
    }
    let scenarios = select(limits::all(), &args.scenario, |scenario| scenario.name)?;
    println!(
        "scenario way excess over_limit used in_time late refused refused_twice misled held known_ms messages"
    );
    for scenario in &scenarios {
        for way in limits::Way::ALL {
            let reports: Vec<_> =
                (1..=args.seeds).map(|seed| limits::run(scenario, way, seed)).collect();
            print_limits(scenario.name, way, &reports);
        }
    }
    Ok(())
}

/// Plays the scenarios of upstreams that return cold with each way and fault, and prints the most
/// arrivals in a second and the means of the other figures over all seeds.
fn run_cold(args: &Limits) -> Result<(), Box<dyn error::Error>> {
    let is_wanted = |scenario: &limits::cold::Scenario| {
        args.scenario.is_empty() || args.scenario.iter().any(|name| name == scenario.name)
    };
    println!("hosts placing zones scenario fault way most allowed used sent given_up");
    for scenario in limits::cold::all().iter().filter(|scenario| is_wanted(scenario)) {
        for fault in limits::cold::Fault::ALL {
            for way in limits::cold::Way::ALL {
                let run = |seed| limits::cold::run(scenario, way, fault, seed);
                print_cold(scenario, fault, way, &(1..=args.seeds).map(run).collect::<Vec<_>>());
            }
        }
    }
    Ok(())
}

fn print_cold(
    scenario: &limits::cold::Scenario,
    fault: limits::cold::Fault,
    way: limits::cold::Way,
    reports: &[limits::cold::Report],
) {
    let mean = |figure: fn(&limits::cold::Report) -> f64| {
        reports.iter().map(figure).sum::<f64>() / reports.len().max(1) as f64
    };
    let limits::cold::Scenario { name, hosts, placing, zones, .. } = scenario;
    println!(
        "{hosts} {placing} {zones} {name} {fault:?} {way:?} {} {} {:.2} {:.0} {:.0}",
        reports.iter().map(|report| report.most).max().unwrap_or(0),
        limits::cold::allowed(),
        mean(|report| report.used),
        mean(|report| report.sent as f64),
        mean(|report| report.given_up as f64),
    );
}

fn print_limits(scenario: &str, way: limits::Way, reports: &[limits::Report]) {
    let worst = |figure: fn(&limits::Report) -> f64| {
        reports.iter().map(figure).fold(f64::NEG_INFINITY, f64::max)
    };
    let mean = |figure: fn(&limits::Report) -> f64| {
        reports.iter().map(figure).sum::<f64>() / reports.len().max(1) as f64
    };
    println!(
        "{scenario} {way:?} {:.1} {:.1} {:.2} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.2}",
        worst(|report| report.excess),
        worst(|report| report.excess_of_limit),
        mean(|report| report.used),
        mean(|report| report.in_time as f64),
        mean(|report| report.late as f64),
        mean(|report| report.refused as f64),
        mean(|report| report.refused_twice as f64),
        mean(|report| report.misled as f64),
        mean(|report| report.held as f64),
        worst(|report| report.known_ms as f64),
        mean(|report| report.messages),
    );
}

/// Plays the scenarios of retries with each way, and prints the largest share of what is allowed and
/// the means of the other figures over all seeds.
fn run_retries(args: &Retries) -> Result<(), Box<dyn error::Error>> {
    let scenarios = select(retries::all(), &args.scenario, |scenario| scenario.name)?;
    println!(
        "scenario way worst_share retries served_by_retry requests served refused refused_with_room messages"
    );
    for scenario in &scenarios {
        for way in retries::Way::ALL {
            let reports: Vec<_> =
                (1..=args.seeds).map(|seed| retries::run(scenario, way, seed)).collect();
            print_retries(scenario.name, way, &reports);
        }
    }
    Ok(())
}

fn print_retries(scenario: &str, way: retries::Way, reports: &[retries::Report]) {
    let mean = |figure: fn(&retries::Report) -> f64| {
        reports.iter().map(figure).sum::<f64>() / reports.len().max(1) as f64
    };
    let worst = reports.iter().map(|report| report.worst_share).fold(0.0, f64::max);
    println!(
        "{scenario} {way:?} {worst:.2} {:.0} {:.0} {:.0} {:.0} {:.0} {:.0} {:.1}",
        mean(|report| report.retries as f64),
        mean(|report| report.served_by_retry as f64),
        mean(|report| report.requests as f64),
        mean(|report| report.served as f64),
        mean(|report| report.refused as f64),
        mean(|report| report.refused_with_room as f64),
        mean(|report| report.messages),
    );
}

/// Plays the scenarios of lethal parts with each way, and prints means over all seeds; of the late
/// sends and the share of sound prompts near the lethal ones the worst one, too.
fn run_parts(args: &Parts) -> Result<(), Box<dyn error::Error>> {
    let scenarios = select(parts::all(), &args.scenario, |scenario| scenario.name)?;
    println!(
        "scenario way crashes last_send_ms late_sends worst_late_sends near_share worst_near_share refused_sound sound begun words"
    );
    for scenario in &scenarios {
        for way in parts::Way::ALL {
            let reports: Vec<_> =
                (1..=args.seeds).map(|seed| parts::run(scenario, way, seed)).collect();
            print_parts(scenario.name, way, &reports);
        }
    }
    Ok(())
}

fn print_parts(scenario: &str, way: parts::Way, reports: &[parts::Report]) {
    let mean = |figure: fn(&parts::Report) -> f64| {
        reports.iter().map(figure).sum::<f64>() / reports.len().max(1) as f64
    };
    let most_late = reports.iter().map(|report| report.late_sends).max().unwrap_or(0);
    let least_near = reports.iter().map(parts::Report::near_share).fold(1.0, f64::min);
    println!(
        "{scenario} {way:?} {:.1} {:.0} {:.1} {most_late} {:.3} {least_near:.3} {:.1} {:.0} {:.0} {:.0}",
        mean(|report| report.crashes as f64),
        mean(|report| report.last_send_ms as f64),
        mean(|report| report.late_sends as f64),
        mean(parts::Report::near_share),
        mean(|report| report.refused_sound as f64),
        mean(|report| report.sound as f64),
        mean(|report| report.begun as f64),
        mean(|report| report.words as f64),
    );
}

/// Plays the scenarios of lost paths with each way, and prints the shares of first tries that were
/// served, the worst times and the sums of the other figures over all seeds.
fn run_paths(args: &Paths) -> Result<(), Box<dyn error::Error>> {
    let scenarios = select(paths::all(), &args.scenario, |scenario| scenario.name)?;
    println!(
        "scenario way cut cut_first others calm until_served_ms detour_after_ms connect_ms through asked busiest misjudged refusals slow_refusals flips"
    );
    for scenario in &scenarios {
        for way in paths::Way::ALL {
            let reports: Vec<_> =
                (1..=args.seeds).map(|seed| paths::run(scenario, way, seed)).collect();
            print_paths(scenario.name, way, &reports);
        }
    }
    Ok(())
}

fn print_paths(scenario: &str, way: paths::Way, reports: &[paths::Report]) {
    let sum = |figure: fn(&paths::Report) -> u64| reports.iter().map(figure).sum::<u64>();
    let worst = |figure: fn(&paths::Report) -> u64| reports.iter().map(figure).max().unwrap_or(0);
    let share = |figure: fn(&paths::Report) -> paths::Count| {
        let counts = reports.iter().map(figure);
        let total = counts.fold(paths::Count::default(), |total, count| paths::Count {
            served: total.served + count.served,
            all: total.all + count.all,
        });
        total.share()
    };
    println!(
        "{scenario} {way:?} {:.3} {:.3} {:.3} {:.3} {} {} {} {} {} {} {} {} {} {}",
        share(|report| report.cut),
        share(|report| report.cut_first),
        share(|report| report.others),
        share(|report| report.calm),
        worst(|report| report.until_served_ms),
        worst(|report| report.detour_after_ms),
        sum(|report| report.connect_ms),
        sum(|report| report.through),
        sum(|report| report.asked),
        worst(|report| report.busiest),
        sum(|report| report.misjudged),
        sum(|report| report.refusals),
        sum(|report| report.slow_refusals),
        sum(|report| report.flips),
    );
}
