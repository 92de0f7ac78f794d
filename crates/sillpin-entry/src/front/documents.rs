//! The JSON documents of callers: OpenAI-style completions and chat completions.

use super::Failure;
use serde::{Deserialize, Serialize};
use sillpin_core::{AdapterId, ModelId, RequestId, Revision, WeightVersion};
use sillpin_targets::RunSummary;

/// Number of tokens generated if the request does not set `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The API whose documents a request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dialect {
    /// `/v1/completions`
    Completions,
    /// `/v1/chat/completions`
    Chat,
}

/// Fields of a request body. Its name is part of the error text for malformed JSON.
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

/// A chat message. Its name is part of the error text for malformed JSON.
#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// A parsed request for a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRequest {
    /// The API of the request.
    pub dialect: Dialect,
    /// The model.
    pub model: ModelId,
    /// The adapter to apply, if any.
    pub adapter: Option<AdapterId>,
    /// The prompt; for a chat, its messages concatenated.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether tokens are streamed as they are generated.
    pub stream: bool,
    /// Other fields, passed to the engine.
    pub parameters: serde_json::Map<String, serde_json::Value>,
}

impl ModelRequest {
    /// Parses a request body; `max_tokens` is the limit for one request.
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
            Dialect::Chat => common.messages.as_deref().map(join_messages),
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

/// Joins the messages of a chat into one prompt. The prompt of a shorter chat is a prefix of that
/// of the same chat with more messages, so its cached blocks can be reused.
fn join_messages(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&format!("<|{}|>\n{}\n", message.role, message.content));
    }
    prompt
}

/// Token counts of a response.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated. Clients can check the length of the response against it.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u64,
    /// Origin of the prompt's tokens.
    pub prompt_tokens_details: PromptDetails,
}

/// Origin of a prompt's tokens.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Tokens found in the engine's cache.
    pub cached_tokens: u64,
    /// Tokens fetched from stores.
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

/// Versions that a response was generated under.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Provenance {
    /// Weight version.
    pub weight_version: WeightVersion,
    /// Revision of the bundle.
    pub revision: Revision,
}

/// Writes the documents of one response.
#[derive(Debug, Clone)]
pub struct ResponseWriter {
    /// The request, whose id is the id of the documents.
    pub request: RequestId,
    /// The API of the request.
    pub dialect: Dialect,
    /// The model.
    pub model: ModelId,
}

impl ResponseWriter {
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

    fn choice<'a>(
        &self,
        text: &'a str,
        is_complete: bool,
        finish: Option<&'static str>,
    ) -> Choice<'a> {
        let chat = ChatText {
            role: "assistant",
            content: text,
        };
        let (text, message, delta) = match (self.dialect, is_complete) {
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

    /// Returns a server-sent event with the text of one token.
    pub fn token_event(&self, text: &str) -> String {
        let object = match self.dialect {
            Dialect::Completions => "text_completion",
            Dialect::Chat => "chat.completion.chunk",
        };
        event(&self.document(object, self.choice(text, false, None)))
    }

    /// Returns the server-sent events that end a response: the token counts and the end mark.
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

    /// Returns a complete response as one document.
    pub fn complete_document(
        &self,
        text: &str,
        summary: RunSummary,
        provenance: Provenance,
    ) -> Vec<u8> {
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
