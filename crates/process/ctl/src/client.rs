//! Calls to the first of several nodes that answers.
//!
//! Invariant: a write is tried on another node only when it is certain that the
//! one before did nothing: it could not be connected to, or it said so itself.
//! A write that ended in any other way is of unknown outcome and is not repeated.

use std::time::Duration;

use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use rpc::failure::Failure;
use rpc::proto::operator_client::OperatorClient;
use rpc::service::MAX_MESSAGE_BYTES;

/// The generated client on one connection.
pub type Connected = OperatorClient<Channel>;

/// The nodes that may be asked.
#[derive(Clone, Debug)]
pub struct Client {
    nodes: Vec<String>,
    timeout: Duration,
}

/// How a try on one node ended.
enum Try<T> {
    Done(Result<T, Failure>),
    /// Nothing was done, so another node may be asked.
    Next(String),
}

impl Client {
    /// A client that tries `nodes` in order and gives each call `timeout`.
    pub fn new(nodes: Vec<String>, timeout: Duration) -> Self {
        Self { nodes, timeout }
    }

    /// Makes a call that changes nothing, so that any failure to get an answer
    /// leads to the next node.
    pub async fn read<T>(
        &self,
        call: impl AsyncFn(Connected) -> Result<Response<T>, Status>,
    ) -> Result<T, Failure> {
        self.first_answer(call, |failure| match failure {
            Failure::Unavailable { message, .. } | Failure::Unknown { message, .. } => {
                Try::Next(message)
            }
            failure => Try::Done(Err(failure)),
        })
        .await
    }

    /// Makes the write that `operation` names.
    pub async fn write<T>(
        &self,
        operation: &str,
        call: impl AsyncFn(Connected) -> Result<Response<T>, Status>,
    ) -> Result<T, Failure> {
        self.first_answer(call, |failure| match failure {
            Failure::Unavailable { message, .. } => Try::Next(message),
            Failure::Unknown { message, .. } => {
                Try::Done(Err(Failure::Unknown { message, operation: operation.to_string() }))
            }
            failure => Try::Done(Err(failure)),
        })
        .await
    }

    async fn first_answer<T>(
        &self,
        call: impl AsyncFn(Connected) -> Result<Response<T>, Status>,
        judge: impl Fn(Failure) -> Try<T>,
    ) -> Result<T, Failure> {
        let mut tried = Vec::new();
        for node in &self.nodes {
            match self.try_node(node, &call, &judge).await {
                Try::Done(result) => return result,
                Try::Next(message) => tried.push(format!("{node}: {message}")),
            }
        }
        Err(Failure::unavailable(tried.join("; ")))
    }

    async fn try_node<T>(
        &self,
        node: &str,
        call: &impl AsyncFn(Connected) -> Result<Response<T>, Status>,
        judge: &impl Fn(Failure) -> Try<T>,
    ) -> Try<T> {
        let client = match self.connect(node).await {
            Ok(client) => client,
            Err(message) => return Try::Next(message),
        };
        match tokio::time::timeout(self.timeout, call(client)).await {
            Ok(Ok(response)) => Try::Done(Ok(response.into_inner())),
            Ok(Err(status)) => judge(Failure::from(&status)),
            Err(_) => judge(Failure::Unknown {
                message: format!("{node} did not answer within {:?}", self.timeout),
                operation: String::new(),
            }),
        }
    }

    /// Connects without sending a call, so that a failure here is certain to
    /// have done nothing.
    async fn connect(&self, node: &str) -> Result<Connected, String> {
        let endpoint = Endpoint::from_shared(format!("http://{node}"))
            .map_err(|_| "is no address".to_string())?
            .connect_timeout(self.timeout);
        let channel = endpoint.connect().await.map_err(|error| cause(&error))?;
        Ok(OperatorClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }
}

/// The innermost cause, which names what the operating system said.
fn cause(error: &dyn std::error::Error) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    format!("can't be reached: {innermost}")
}
