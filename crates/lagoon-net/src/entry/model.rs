//! Handlers for model calls: completions, chat completions and the list of models.

use std::rc;
use std::sync;

use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::claim;
use lagoonline::load;
use lagoonline::outcome::{Outcome, Reason, Step};
use ntex::web;
use serde_json::json;

use super::body;
use super::call;
use super::fault;
use super::generation;
use super::interrupt;
use super::prompt;
use super::relay;
use super::render;
use super::state;
use super::worker;

/// Handles a completion or chat completion call.
pub(crate) async fn handle(
    worker: &rc::Rc<worker::Worker>,
    endpoint: prompt::Endpoint,
    request: &web::HttpRequest,
    unread: &body::Unread,
    request_id: &str,
) -> Result<web::HttpResponse, fault::Fault> {
    let state = &worker.state;
    let active = state::ActiveGuard::new(state);
    let call = call::Call::read(state, state.clock.now(), request.headers())?;
    let read = body::collect(&state.settings.limits, request.headers(), unread.take());
    let body = interrupt::within(state, call.deadline, read).await;
    let body = body.map_err(|interrupt| interrupt.fault(Step::Read, Outcome::NotRun))??;
    let parameters = prompt::parse(endpoint, &body).map_err(call::malformed)?;
    let input = new_input(call, &parameters, body)?;
    let labels = input.labels();
    request.extensions_mut().insert(labels.clone());
    let metadata = render::Metadata {
        endpoint,
        id: call::random_id(),
        model: input.request.model.clone(),
        created: state.clock.wall_millis() / 1_000,
    };
    let customer = input.call.customer();
    let rate = input.call.rate();
    let tokens = input.request.prompt_tokens + input.request.answer_tokens;
    state.rate_limits().admit(state.clock.now(), &customer.name, rate, tokens)?;
    let (claim, from) = (new_claim(worker, request, &input), input.call.resume_from);
    let mut generation = generation::Generation::new(worker.clone(), input, claim, from);
    let replay = generation.start().await?;
    let mut response = web::HttpResponse::Ok();
    response.set_header("X-Request-Id", request_id);
    if state.phase() >= state::Phase::Draining {
        response.force_close();
    }
    if parameters.stream {
        let outcome_event = request.headers().get("lagoon-outcome-event");
        let outcome_event = outcome_event.is_some_and(|value| value.as_bytes() == b"1");
        let mut writer = render::Writer::new(metadata);
        response.set_header("Cache-Control", "no-cache");
        response.content_type("text/event-stream");
        if let Some(stored) = replay {
            let usage = replay_usage(&generation, generation::replay(&stored, from, &mut writer))?;
            state.metrics.count_claim("replayed");
            state.metrics.count_done(&labels, Outcome::Done);
            writer.finish(usage, outcome_event);
            response.set_header("Lagoon-Outcome", Outcome::Done.as_str());
            return Ok(response.body(writer.take()));
        }
        let body =
            relay::start(state.clone(), generation, writer, active, outcome_event, request.io());
        response.set_header("Lagoon-Outcome", Outcome::Unknown.as_str());
        return Ok(response.streaming(body));
    }
    let mut text = render::Collector::default();
    if let Some(stored) = replay {
        let usage = replay_usage(&generation, generation::replay(&stored, from, &mut text))?;
        state.metrics.count_claim("replayed");
        state.metrics.count_done(&labels, Outcome::Done);
        response.set_header("Lagoon-Outcome", Outcome::Done.as_str());
        return Ok(response.content_type("application/json").body(text.finish(&metadata, usage)));
    }
    let summary = loop {
        if let Some(summary) = generation.next(&mut text).await? {
            break summary;
        }
    };
    state.metrics.count_done(&labels, summary.outcome);
    response.set_header("Lagoon-Outcome", summary.outcome.as_str());
    let json = text.finish(&metadata, relay::usage(&generation, summary));
    Ok(response.content_type("application/json").body(json))
}

/// Returns the idempotency claim of a call that has a key, if there is a platform to record it on.
fn new_claim(
    worker: &worker::Worker,
    request: &web::HttpRequest,
    input: &generation::Input,
) -> generation::ClaimState {
    match (&input.call.idempotency_key, &worker.claims) {
        (Some(key), Some(claims)) => {
            generation::ClaimState::Deferred(Box::new(generation::Deferred {
                claims: claims.clone(),
                key: key.clone(),
                request_hash: claim::request_hash("POST", request.path(), &input.body),
            }))
        }
        _ => generation::ClaimState::None,
    }
}

/// Returns the usage of a replayed response.
fn replay_usage(
    generation: &generation::Generation,
    found: Option<(u64, u64)>,
) -> Result<render::Usage, fault::Fault> {
    let unreadable = || fault::new(Reason::EarlierUnknown, Step::Claim, Outcome::Unknown);
    let (prompt_tokens, answer_tokens) = found.ok_or_else(unreadable)?;
    let limit_reached = answer_tokens >= generation.input().request.answer_tokens;
    Ok(render::Usage { prompt_tokens, answer_tokens, limit_reached })
}

/// Checks the model and the token limit, and builds the request for the scheduler.
fn new_input(
    call: call::Call,
    parameters: &prompt::Parameters,
    body: ntex::util::Bytes,
) -> Result<generation::Input, fault::Fault> {
    let model = id::Model::from(parameters.model.as_str());
    let fleet = &call.view.fleet;
    let unknown = || fault::new(Reason::UnknownName, Step::Admit, Outcome::NotRun);
    let model_entry = fleet.models.get(&model).ok_or_else(unknown)?;
    let queue = call.view.queues.get(&model).ok_or_else(unknown)?;
    let customer = call.customer();
    if !customer.entry.models.is_empty() && !customer.entry.models.contains(&model) {
        return Err(fault::new(Reason::Forbidden, Step::Admit, Outcome::NotRun));
    }
    let bytes_per_token = queue.bytes_per_token();
    let tokens = |bytes: usize| bytes_per_token.tokens(bytes as u64);
    let prompt_tokens = tokens(parameters.bytes).max(1);
    if prompt_tokens.saturating_add(parameters.max_answer_tokens) > model_entry.max_tokens {
        let detail = format!("about {prompt_tokens} and {} tokens", parameters.max_answer_tokens);
        let fault = fault::new(Reason::TooLong, Step::Admit, Outcome::NotRun);
        return Err(fault.with_detail(detail));
    }
    let prefixes = parameters.prefixes.iter().map(|(hash, bytes)| (*hash, tokens(*bytes)));
    let request = load::Request {
        customer: customer.name.clone(),
        team: customer.team.clone(),
        weight: customer.entry.weight,
        model,
        prompt_tokens,
        answer_tokens: parameters.max_answer_tokens,
        bytes: body.len() as u64,
        arrived: call.arrived,
        deadline: call.deadline,
        prefixes: prefixes.collect(),
    };
    let (queue, continues) = (sync::Arc::clone(queue), model_entry.continues);
    let prompt_bytes = parameters.bytes;
    Ok(generation::Input { call, request, prompt_bytes, queue, continues, body })
}

/// Lists the models that the caller may use.
pub(crate) fn list(
    state: &state::State,
    request: &web::HttpRequest,
    request_id: &str,
) -> Result<web::HttpResponse, fault::Fault> {
    let call = call::Call::read(state, state.clock.now(), request.headers())?;
    let allowed = &call.customer().entry.models;
    let models = call.view.fleet.models.keys();
    let models = models.filter(|model| allowed.is_empty() || allowed.contains(model));
    let entry = |model: &id::Model| json!({"id": model, "object": "model", "created": 0, "owned_by": "lagoonline"});
    let data: Vec<_> = models.map(entry).collect();
    let mut response = web::HttpResponse::Ok();
    response.set_header("X-Request-Id", request_id);
    response.set_header("Lagoon-Outcome", Outcome::Done.as_str());
    Ok(response.json(&json!({"object": "list", "data": data})))
}
