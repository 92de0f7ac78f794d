//! Sends one request as a caller does, and checks the response from outside.

use crate::oracle::ExpectedAnswer;
use hyper::{Method, Request, Response, StatusCode, header};
use serde::Deserialize;
use sillpin_core::{Outcome, PriorityClass, Problem, RequestId};
use sillpin_http::IncomingBody;
use sillpin_http::body::read_json;
use sillpin_http::{Body, Client, Lines};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum length of a response, in bytes.
const MAX_RESPONSE_LEN: usize = 64 << 20;

/// A completion request.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// API key of the organisation.
    pub key: String,
    /// Name of the model.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Whether tokens are streamed as they are generated.
    pub stream: bool,
    /// Priority class.
    pub class: PriorityClass,
    /// Idempotency key, if the call runs at most once.
    pub once_key: Option<String>,
    /// Maximum wait for the complete response.
    pub timeout: Duration,
}

impl CompletionRequest {
    /// Creates a streamed request with priority `Normal`, no idempotency key and a timeout of 60 s.
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

/// Token counts of a complete response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens generated.
    pub completion_tokens: u32,
    /// Numbers of prompt tokens that were not computed.
    pub prompt_tokens_details: PromptDetails,
}

/// Prompt tokens that were not computed, by source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct PromptDetails {
    /// Number of tokens found in the engine's cache.
    pub cached_tokens: u64,
    /// Number of tokens fetched from stores.
    pub imported_tokens: u64,
    /// Number of bytes fetched from stores.
    pub imported_bytes: u64,
}

/// Result of a request, as observed by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// The complete and expected response.
    Answered {
        /// Time to first token.
        first_token: Duration,
        /// Time to the end of the response.
        total: Duration,
        /// Token counts.
        usage: Usage,
        /// Id of the request, if the response had one.
        request: Option<RequestId>,
    },
    /// A problem document, instead of a response or in the middle of a stream.
    Refused {
        /// The problem document.
        problem: Problem,
        /// Time until the problem document was received.
        after: Duration,
    },
    /// Neither a complete response nor a problem document; with the reason.
    Lost(String),
    /// A response that is not the one to this request; with the unexpected text.
    Mixed(String),
}

impl CallResult {
    /// Returns the reported outcome of the request; `None` if none was reported.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            CallResult::Answered { .. } => Some(Outcome::Ran),
            CallResult::Refused { problem, .. } => Some(problem.outcome),
            CallResult::Lost(_) | CallResult::Mixed(_) => None,
        }
    }

    /// Returns whether the complete response was received.
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

/// Sends a request to an entry and checks the response.
pub async fn call(
    client: &Client,
    entry: SocketAddr,
    completion: &CompletionRequest,
) -> CallResult {
    let begun = Instant::now();
    let sending = send_and_check(client, entry, completion, begun);
    match tokio::time::timeout(completion.timeout, sending).await {
        Ok(result) => result,
        Err(_) => CallResult::Lost(format!(
            "no complete response within {:?}",
            completion.timeout
        )),
    }
}

fn request(entry: SocketAddr, completion: &CompletionRequest) -> Option<Request<Body>> {
    let document = serde_json::json!({
        "model": completion.model,
        "prompt": completion.prompt,
        "max_tokens": completion.max_tokens,
        "stream": completion.stream,
    });
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/v1/completions"))
        .header(header::AUTHORIZATION, format!("Bearer {}", completion.key))
        .header("sillpin-priority", completion.class.to_string());
    if let Some(key) = &completion.once_key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Body::full(document.to_string())).ok()
}

async fn send_and_check(
    client: &Client,
    entry: SocketAddr,
    completion: &CompletionRequest,
    begun: Instant,
) -> CallResult {
    let Some(req) = request(entry, completion) else {
        return CallResult::Lost(
            "the HTTP request could not be built: invalid address or header value".to_owned(),
        );
    };
    let resp = match client.send("call an entry", entry, req).await {
        Ok(resp) => resp,
        Err(e) => return CallResult::Lost(e.to_string()),
    };
    if resp.status() != StatusCode::OK {
        return read_refusal(resp, begun).await;
    }
    let id = resp.headers().get("sillpin-request-id");
    let id = id
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    let expected = ExpectedAnswer::of(&completion.prompt);
    if completion.stream {
        return read_stream(resp, completion, expected, begun, id).await;
    }
    read_document(resp, completion, expected, begun, id).await
}

async fn read_refusal(resp: Response<IncomingBody>, begun: Instant) -> CallResult {
    let status = resp.status();
    match read_json::<Problem, _>(resp.into_body(), MAX_RESPONSE_LEN).await {
        Ok(problem) => CallResult::Refused {
            problem,
            after: begun.elapsed(),
        },
        Err(e) => CallResult::Lost(format!("status {status} without a problem document: {e}")),
    }
}

async fn read_document(
    resp: Response<IncomingBody>,
    completion: &CompletionRequest,
    expected: ExpectedAnswer,
    begun: Instant,
    request: Option<RequestId>,
) -> CallResult {
    let document: Document = match read_json(resp.into_body(), MAX_RESPONSE_LEN).await {
        Ok(document) => document,
        Err(e) => return CallResult::Lost(e.to_string()),
    };
    let [choice] = document.choices;
    if choice.text != expected.text(completion.max_tokens) {
        return CallResult::Mixed(choice.text);
    }
    CallResult::Answered {
        first_token: begun.elapsed(),
        total: begun.elapsed(),
        usage: document.usage.unwrap_or_default(),
        request,
    }
}

async fn read_stream(
    resp: Response<IncomingBody>,
    completion: &CompletionRequest,
    expected: ExpectedAnswer,
    begun: Instant,
    request: Option<RequestId>,
) -> CallResult {
    let mut lines = Lines::new(resp.into_body());
    let mut first_token = None;
    let mut usage = None;
    let mut tokens = 0;
    let mut is_error_event = false;
    loop {
        let line = match lines.next().await {
            Ok(Some(line)) => line,
            Ok(None) => return CallResult::Lost(format!("no end mark after {tokens} tokens")),
            Err(e) => return CallResult::Lost(format!("{e} after {tokens} tokens")),
        };
        let line = String::from_utf8_lossy(&line).into_owned();
        if line == "event: error" {
            is_error_event = true;
            continue;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if is_error_event {
            return match serde_json::from_str(data) {
                Ok(problem) => CallResult::Refused {
                    problem,
                    after: begun.elapsed(),
                },
                Err(e) => CallResult::Lost(format!("invalid problem document: {e}")),
            };
        }
        if data == "[DONE]" {
            break;
        }
        let document: Document = match serde_json::from_str(data) {
            Ok(document) => document,
            Err(e) => return CallResult::Lost(format!("invalid event: {e}")),
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
    if tokens != completion.max_tokens || counted != tokens {
        return CallResult::Lost(format!(
            "received {tokens} of {} tokens, the usage reports {counted}",
            completion.max_tokens
        ));
    }
    CallResult::Answered {
        first_token: first_token.unwrap_or_else(|| begun.elapsed()),
        total: begun.elapsed(),
        usage: usage.unwrap_or_default(),
        request,
    }
}
