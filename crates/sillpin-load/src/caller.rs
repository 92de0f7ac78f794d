//! Sends one request as a caller would, and checks from outside what comes back.

use crate::oracle::ExpectedAnswer;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use serde::Deserialize;
use sillpin_core::{Outcome, PriorityClass, Problem, RequestId};
use sillpin_http::body::read_json;
use sillpin_http::{Body, Client, Lines};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Longest answer read, in bytes.
const MAX_ANSWER_LEN: usize = 64 << 20;

/// What is asked.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// Key of the organisation.
    pub key: String,
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Whether tokens are sent as they come.
    pub stream: bool,
    /// Class.
    pub class: PriorityClass,
    /// Idempotency key, if the call runs at most once.
    pub once_key: Option<String>,
    /// Longest wait for the whole answer.
    pub timeout: Duration,
}

impl CompletionRequest {
    /// A streamed request with usual values.
    pub fn new(key: &str, model: &str, prompt: impl Into<String>, max_tokens: u32) -> Self {
        Self {
            key: key.to_owned(),
            model: model.to_owned(),
            prompt: prompt.into(),
            max_tokens,
            stream: true,
            class: PriorityClass::Normal,
            once_key: None,
            timeout: Duration::from_secs(60),
        }
    }
}

/// Counts of a whole answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Where the prompt's tokens came from.
    pub prompt_tokens_details: PromptDetails,
}

/// Where a prompt's tokens came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct PromptDetails {
    /// Found in the engine's cache.
    pub cached_tokens: u64,
    /// Fetched from stores.
    pub imported_tokens: u64,
    /// Bytes fetched from stores.
    pub imported_bytes: u64,
}

/// What came back.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// The whole answer, and it is the right one.
    Answered {
        /// Time to first token.
        first_token: Duration,
        /// Time to the end mark.
        whole: Duration,
        /// Counts.
        usage: Usage,
        /// The request.
        request: Option<RequestId>,
    },
    /// A problem document.
    Refused {
        /// The document.
        problem: Problem,
        /// Time until it came.
        after: Duration,
    },
    /// Neither a whole answer nor a word about it.
    Lost(String),
    /// An answer that is not the one to this prompt.
    Mixed(String),
}

impl CallResult {
    /// What was said about the request; `None` if nothing was.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            CallResult::Answered { .. } => Some(Outcome::Ran),
            CallResult::Refused { problem, .. } => Some(problem.outcome),
            CallResult::Lost(_) | CallResult::Mixed(_) => None,
        }
    }

    /// Whether the whole answer came.
    pub fn is_answered(&self) -> bool {
        matches!(self, CallResult::Answered { .. })
    }
}

#[derive(Deserialize)]
struct Document {
    choices: [Choice; 1],
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

/// Sends a request to an entry and checks the answer.
pub async fn call(client: &Client, entry: SocketAddr, ask: &CompletionRequest) -> CallResult {
    let begun = Instant::now();
    let work = send(client, entry, ask, begun);
    match tokio::time::timeout(ask.timeout, work).await {
        Ok(got) => got,
        Err(_) => CallResult::Lost(format!("no whole answer within {:?}", ask.timeout)),
    }
}

fn request(entry: SocketAddr, ask: &CompletionRequest) -> Option<Request<Body>> {
    let document = serde_json::json!({
        "model": ask.model,
        "prompt": ask.prompt,
        "max_tokens": ask.max_tokens,
        "stream": ask.stream,
    });
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/v1/completions"))
        .header(header::AUTHORIZATION, format!("Bearer {}", ask.key))
        .header("sillpin-priority", ask.class.to_string());
    if let Some(key) = &ask.once_key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Body::full(document.to_string())).ok()
}

async fn send(
    client: &Client,
    entry: SocketAddr,
    ask: &CompletionRequest,
    begun: Instant,
) -> CallResult {
    let Some(req) = request(entry, ask) else {
        return CallResult::Lost("the request could not be built".to_owned());
    };
    let resp = match client.send("call an entry", entry, req).await {
        Ok(resp) => resp,
        Err(e) => return CallResult::Lost(e.to_string()),
    };
    if resp.status() != StatusCode::OK {
        return refused(resp, begun).await;
    }
    let id = resp.headers().get("sillpin-request-id");
    let id = id
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    let expected = ExpectedAnswer::of(&ask.prompt);
    if ask.stream {
        return streamed(resp, ask, expected, begun, id).await;
    }
    whole(resp, ask, expected, begun, id).await
}

async fn refused(resp: Response<Incoming>, begun: Instant) -> CallResult {
    let status = resp.status();
    match read_json::<Problem, _>(resp.into_body(), MAX_ANSWER_LEN).await {
        Ok(problem) => CallResult::Refused {
            problem,
            after: begun.elapsed(),
        },
        Err(e) => CallResult::Lost(format!("status {status} without a problem document: {e}")),
    }
}

async fn whole(
    resp: Response<Incoming>,
    ask: &CompletionRequest,
    expected: ExpectedAnswer,
    begun: Instant,
    request: Option<RequestId>,
) -> CallResult {
    let document: Document = match read_json(resp.into_body(), MAX_ANSWER_LEN).await {
        Ok(document) => document,
        Err(e) => return CallResult::Lost(e.to_string()),
    };
    let [choice] = document.choices;
    if choice.text != expected.text(ask.max_tokens) {
        return CallResult::Mixed(choice.text);
    }
    CallResult::Answered {
        first_token: begun.elapsed(),
        whole: begun.elapsed(),
        usage: document.usage.unwrap_or_default(),
        request,
    }
}

async fn streamed(
    resp: Response<Incoming>,
    ask: &CompletionRequest,
    expected: ExpectedAnswer,
    begun: Instant,
    request: Option<RequestId>,
) -> CallResult {
    let mut lines = Lines::new(resp.into_body());
    let mut first_token = None;
    let mut usage = None;
    let mut tokens = 0;
    let mut failing = false;
    loop {
        let line = match lines.next().await {
            Ok(Some(line)) => line,
            Ok(None) => return CallResult::Lost(format!("no end mark after {tokens} tokens")),
            Err(e) => return CallResult::Lost(format!("{e} after {tokens} tokens")),
        };
        let line = String::from_utf8_lossy(&line).into_owned();
        if line == "event: error" {
            failing = true;
            continue;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if failing {
            return match serde_json::from_str(data) {
                Ok(problem) => CallResult::Refused {
                    problem,
                    after: begun.elapsed(),
                },
                Err(e) => CallResult::Lost(format!("unreadable problem: {e}")),
            };
        }
        if data == "[DONE]" {
            break;
        }
        let document: Document = match serde_json::from_str(data) {
            Ok(document) => document,
            Err(e) => return CallResult::Lost(format!("unreadable event: {e}")),
        };
        let [choice] = document.choices;
        usage = usage.or(document.usage);
        if choice.text.is_empty() {
            continue;
        }
        if choice.text != expected.token(tokens) {
            return CallResult::Mixed(format!("token {tokens} is {:?}", choice.text));
        }
        first_token.get_or_insert_with(|| begun.elapsed());
        tokens += 1;
    }
    let counted = usage.unwrap_or_default().completion_tokens;
    if tokens != ask.max_tokens || counted != tokens {
        return CallResult::Lost(format!(
            "{tokens} of {} tokens, {counted} counted",
            ask.max_tokens
        ));
    }
    CallResult::Answered {
        first_token: first_token.unwrap_or_else(|| begun.elapsed()),
        whole: begun.elapsed(),
        usage: usage.unwrap_or_default(),
        request,
    }
}
