//! Calls to several nodes in order, until one answers.
//!
//! Invariant: a write is tried on another node only if it is certain that the
//! previous one did nothing: the connection failed, or the node answered that the
//! write is unavailable. A write that failed in any other way, except for a definite
//! refusal, has an unknown outcome and is not repeated.

use std::time::Duration;

use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use rpc::failure::Failure;
use rpc::proto::operator_client::OperatorClient;
use rpc::service::MAX_MESSAGE_BYTES;

/// The generated gRPC client, connected to one node.
pub type NodeClient = OperatorClient<Channel>;

/// A client of several nodes, which tries one after the other.
#[derive(Clone, Debug)]
pub struct Client {
    nodes: Vec<String>,
    timeout: Duration,
}

/// The result of a call to one node.
enum Attempt<T> {
    Done(Result<T, Failure>),
    /// The call failed with this message, and may be tried on another node.
    TryNext(String),
}

impl Client {
    /// A client that tries `nodes` in order, with `timeout` for each call.
    pub fn new(nodes: Vec<String>, timeout: Duration) -> Self {
        Self { nodes, timeout }
    }

    /// Makes a read-only call. Since it has no effect, it is tried on the next node
    /// after any failure to get an answer.
    pub async fn read<T>(
        &self,
        call: impl AsyncFn(NodeClient) -> Result<Response<T>, Status>,
    ) -> Result<T, Failure> {
        self.try_nodes(call, |failure| match failure {
            Failure::Unavailable { message, .. } | Failure::Unknown { message, .. } => {
                Attempt::TryNext(message)
            }
            failure => Attempt::Done(Err(failure)),
        })
        .await
    }

    /// Makes the write with the id `operation`.
    pub async fn write<T>(
        &self,
        operation: &str,
        call: impl AsyncFn(NodeClient) -> Result<Response<T>, Status>,
    ) -> Result<T, Failure> {
        self.try_nodes(call, |failure| match failure {
            Failure::Unavailable { message, .. } => Attempt::TryNext(message),
            Failure::Unknown { message, .. } => {
                Attempt::Done(Err(Failure::Unknown { message, operation: operation.to_string() }))
            }
            failure => Attempt::Done(Err(failure)),
        })
        .await
    }

    async fn try_nodes<T>(
        &self,
        call: impl AsyncFn(NodeClient) -> Result<Response<T>, Status>,
        classify: impl Fn(Failure) -> Attempt<T>,
    ) -> Result<T, Failure> {
        let mut failures = Vec::new();
        for node in &self.nodes {
            match self.try_node(node, &call, &classify).await {
                Attempt::Done(result) => return result,
                Attempt::TryNext(message) => failures.push(format!("{node}: {message}")),
            }
        }
        Err(Failure::unavailable(failures.join("; ")))
    }

    async fn try_node<T>(
        &self,
        node: &str,
        call: &impl AsyncFn(NodeClient) -> Result<Response<T>, Status>,
        classify: &impl Fn(Failure) -> Attempt<T>,
    ) -> Attempt<T> {
        let client = match self.connect(node).await {
            Ok(client) => client,
            Err(message) => return Attempt::TryNext(message),
        };
        match tokio::time::timeout(self.timeout, call(client)).await {
            Ok(Ok(response)) => Attempt::Done(Ok(response.into_inner())),
            Ok(Err(status)) => classify(Failure::from(&status)),
            Err(_) => classify(Failure::Unknown {
                message: format!("{node} did not answer within {:?}", self.timeout),
                operation: String::new(),
            }),
        }
    }

    /// Connects without sending the call, so that it is certain that a failure here
    /// had no effect.
    async fn connect(&self, node: &str) -> Result<NodeClient, String> {
        let endpoint = Endpoint::from_shared(format!("http://{node}"))
            .map_err(|_| "invalid address".to_string())?
            .connect_timeout(self.timeout);
        let channel = endpoint.connect().await.map_err(|error| connect_failure(&error))?;
        Ok(OperatorClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }
}

/// Describes a failed connection by its innermost cause, the operating system's error.
fn connect_failure(error: &dyn std::error::Error) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    format!("can't be reached: {innermost}")
}
