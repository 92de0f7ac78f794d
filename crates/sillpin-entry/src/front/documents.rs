//! The callers' documents: OpenAI-style completions and chat completions.

use super::Failure;
use serde::{Deserialize, Serialize};
use sillpin_core::{AdapterId, ModelId, RequestId, Revision, WeightVersion};
use sillpin_targets::RunSummary;

/// Tokens generated when the request does not say.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Which documents a request speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialect {
    /// `/v1/completions`
    Completions,
    /// `/v1/chat/completions`
    Chat,
}

#[derive(Deserialize)]
struct Common {
    model: ModelId,
    #[serde(default)]
    adapter: Option<AdapterId>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(flatten)]
    parameters: serde_json::Map<String, serde_json::Value>,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// What a caller asks of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRequest {
    /// The documents that it speaks.
    pub dialect: Dialect,
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// The prompt; the messages of a chat one behind the other.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Whether tokens are sent as they come.
    pub stream: bool,
    /// Further fields, passed on.
    pub parameters: serde_json::Map<String, serde_json::Value>,
}

impl ModelRequest {
    /// Reads a request's body.
    pub fn parse(dialect: Dialect, body: &[u8], max_tokens: u32) -> Result<Self, Failure> {
        let text = std::str::from_utf8(body);
        let text = text.map_err(|_| Failure::bad_request("the body is not UTF-8"))?;
        let common: Common = serde_json::from_str(text)
            .map_err(|e| Failure::bad_request(format!("the body is not the expected JSON: {e}")))?;
        let tokens = common
            .max_tokens
            .unwrap_or(DEFAULT_MAX_TOKENS.min(max_tokens));
        if !(1..=max_tokens).contains(&tokens) {
            let detail = format!("max_tokens must be from 1 to {max_tokens}");
            return Err(Failure::bad_request(detail));
        }
        let prompt = match dialect {
            Dialect::Completions => common.prompt,
            Dialect::Chat => common.messages.as_deref().map(join),
        };
        let field = match dialect {
            Dialect::Completions => "prompt",
            Dialect::Chat => "messages",
        };
        let prompt = prompt.filter(|prompt| !prompt.is_empty());
        let prompt =
            prompt.ok_or_else(|| Failure::bad_request(format!("{field} must not be empty")))?;
        Ok(Self {
            dialect,
            model: common.model,
            adapter: common.adapter,
            prompt,
            max_tokens: tokens,
            stream: common.stream,
            parameters: common.parameters,
        })
    }
}

/// The messages of a chat as one prompt: a longer chat begins with the shorter one.
fn join(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&format!("<|{}|>\n{}\n", message.role, message.content));
    }
    prompt
}

/// Counts of an answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated: the answer's end mark is checked against it.
    pub completion_tokens: u32,
    /// Both.
    pub total_tokens: u64,
    /// Where the prompt's tokens came from.
    pub prompt_tokens_details: PromptDetails,
}

/// Where a prompt's tokens came from.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Found in the engine's cache.
    pub cached_tokens: u64,
    /// Fetched from stores.
    pub imported_tokens: u64,
    /// Bytes fetched from stores.
    pub imported_bytes: u64,
}

impl From<RunSummary> for Usage {
    fn from(summary: RunSummary) -> Self {
        Self {
            prompt_tokens: summary.prompt_tokens.0,
            completion_tokens: summary.tokens,
            total_tokens: summary.prompt_tokens.0 + u64::from(summary.tokens),
            prompt_tokens_details: PromptDetails {
                cached_tokens: summary.cached_tokens.0,
                imported_tokens: summary.imported_tokens.0,
                imported_bytes: summary.imported_bytes,
            },
        }
    }
}

#[derive(Serialize)]
struct Document<'a> {
    id: RequestId,
    object: &'static str,
    model: &'a ModelId,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    sillpin: Option<Provenance>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatText<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatText<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChatText<'a> {
    role: &'static str,
    content: &'a str,
}

/// What an answer was made under.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Provenance {
    /// Weight version.
    pub weight_version: WeightVersion,
    /// The bundle's revision.
    pub revision: Revision,
}

/// Writes the documents of one answer.
#[derive(Debug, Clone)]
pub struct Writer {
    /// The request.
    pub request: RequestId,
    /// Its documents.
    pub dialect: Dialect,
    /// Its model.
    pub model: ModelId,
}

impl Writer {
    fn document<'a>(&'a self, object: &'static str, choice: Choice<'a>) -> Document<'a> {
        Document {
            id: self.request,
            object,
            model: &self.model,
            choices: [choice],
            usage: None,
            sillpin: None,
        }
    }

    fn choice<'a>(&self, text: &'a str, whole: bool, finish: Option<&'static str>) -> Choice<'a> {
        let chat = ChatText {
            role: "assistant",
            content: text,
        };
        let (text, message, delta) = match (self.dialect, whole) {
            (Dialect::Completions, _) => (Some(text), None, None),
            (Dialect::Chat, true) => (None, Some(chat), None),
            (Dialect::Chat, false) => (None, None, Some(chat)),
        };
        Choice {
            index: 0,
            text,
            message,
            delta,
            finish_reason: finish,
        }
    }

    /// A server-sent event with a token.
    pub fn token_event(&self, text: &str) -> String {
        let object = match self.dialect {
            Dialect::Completions => "text_completion",
            Dialect::Chat => "chat.completion.chunk",
        };
        event(&self.document(object, self.choice(text, false, None)))
    }

    /// The server-sent events that end an answer: counts and the end mark.
    pub fn end_events(&self, summary: RunSummary, provenance: Provenance) -> String {
        let object = match self.dialect {
            Dialect::Completions => "text_completion",
            Dialect::Chat => "chat.completion.chunk",
        };
        let mut document = self.document(object, self.choice("", false, Some("length")));
        document.usage = Some(summary.into());
        document.sillpin = Some(provenance);
        format!("{}data: [DONE]\n\n", event(&document))
    }

    /// The whole answer as one document.
    pub fn whole(&self, text: &str, summary: RunSummary, provenance: Provenance) -> Vec<u8> {
        let object = match self.dialect {
            Dialect::Completions => "text_completion",
            Dialect::Chat => "chat.completion",
        };
        let mut document = self.document(object, self.choice(text, true, Some("length")));
        document.usage = Some(summary.into());
        document.sillpin = Some(provenance);
        serde_json::to_vec(&document).unwrap_or_default()
    }
}

fn event<T: Serialize>(document: &T) -> String {
    let text = serde_json::to_string(document).unwrap_or_default();
    format!("data: {text}\n\n")
}
