//! Tracing spans, one per hop, exported over OTLP/HTTP, and the `traceparent` header.

use opentelemetry::trace::{
    Span, SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer,
    TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{ExporterBuildError, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::runtime::Tokio;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use std::net::SocketAddr;

/// Name of the header that propagates the trace context between hops.
pub const TRACEPARENT: &str = "traceparent";

/// Tracer of a program.
#[derive(Clone)]
pub struct Traces {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

/// A span that has not ended.
pub type ActiveSpan = opentelemetry_sdk::trace::Span;

impl Traces {
    /// Creates the tracer of `program` on `box_id`. Spans are exported to `collector`, if one is given.
    pub fn new(
        program: &'static str,
        box_id: &str,
        collector: Option<SocketAddr>,
    ) -> Result<Self, ExporterBuildError> {
        let resource = Resource::builder()
            .with_service_name(program)
            .with_attribute(KeyValue::new("box", box_id.to_owned()))
            .build();
        let mut builder = SdkTracerProvider::builder().with_resource(resource);
        if let Some(collector) = collector {
            let exporter = opentelemetry_otlp::SpanExporter::builder()
                .with_http()
                .with_endpoint(format!("http://{collector}/v1/traces"))
                .build()?;
            let processor = BatchSpanProcessor::builder(exporter, Tokio).build();
            builder = builder.with_span_processor(processor);
        }
        let provider = builder.build();
        let tracer = provider.tracer("sillpin");
        Ok(Self { provider, tracer })
    }

    /// Starts the span of a hop, as a child of `parent` if there is one.
    pub fn span(
        &self,
        name: &'static str,
        kind: SpanKind,
        parent: Option<&SpanContext>,
    ) -> ActiveSpan {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        let context = match parent {
            Some(parent) => Context::new().with_remote_span_context(parent.clone()),
            None => Context::new(),
        };
        self.tracer.build_with_context(builder, &context)
    }

    /// Exports the remaining spans and stops the exporter.
    pub fn shutdown(&self) {
        let _ = self.provider.shutdown();
    }
}

/// Parses a `traceparent` header (W3C Trace Context, version 00).
pub fn parse_traceparent(text: &str) -> Option<SpanContext> {
    let mut parts = text.split('-');
    let (version, trace, span, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    let widths = [(version, 2), (trace, 32), (span, 16), (flags, 2)];
    let well_formed = |(part, width): &(&str, usize)| {
        part.len() == *width && part.bytes().all(|b| b.is_ascii_hexdigit())
    };
    if !widths.iter().all(well_formed) || version == "ff" {
        return None;
    }
    let context = SpanContext::new(
        TraceId::from_hex(trace).ok()?,
        SpanId::from_hex(span).ok()?,
        TraceFlags::new(u8::from_str_radix(flags, 16).ok()?),
        true,
        TraceState::NONE,
    );
    context.is_valid().then_some(context)
}

/// Formats the `traceparent` header of a span.
pub fn traceparent(span: &ActiveSpan) -> String {
    let context = span.span_context();
    let flags = context.trace_flags().to_u8();
    format!(
        "00-{}-{}-{flags:02x}",
        context.trace_id(),
        context.span_id()
    )
}
