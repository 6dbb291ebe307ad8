//! Converting a failure to a gRPC status and back returns the same failure.

use tonic::Code;
use tonic::Status;

use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Policy;
use conf::object::Spec;
use conf::verify::Issue;
use rpc::failure::Failure;

fn object(spec: Option<Spec>) -> Object {
    Object { key: Key { kind: Kind::Policy, name: "steady".into() }, revision: 7, spec }
}

#[test]
fn failure_survives_conversion_to_status_and_back() {
    let policy = Spec::Policy(Policy::default());
    let cases = [
        (
            Failure::Invalid(vec![Issue::new("a[0].b", "bad"), Issue::new("", "worse")]),
            Code::InvalidArgument,
        ),
        (Failure::Conflict(Some(object(Some(policy)))), Code::Aborted),
        (Failure::Conflict(Some(object(None))), Code::Aborted),
        (Failure::Conflict(None), Code::Aborted),
        (Failure::NotFound("x".to_string()), Code::NotFound),
        (
            Failure::Unavailable { message: "x".to_string(), retry_after_ms: Some(5) },
            Code::Unavailable,
        ),
        (Failure::Unknown { message: "x".to_string(), operation: "y".to_string() }, Code::Unknown),
        (Failure::Unsupported("x".to_string()), Code::Unimplemented),
    ];
    for (failure, code) in cases {
        let status = Status::from(failure.clone());
        assert_eq!(status.code(), code);
        assert_eq!(Failure::from(&status), failure);
    }
}

#[test]
fn status_without_details_is_an_unknown_outcome() {
    // The transport returns this code even if the call was already sent.
    let broken = Failure::from(&Status::unavailable("connection reset"));
    assert!(matches!(broken, Failure::Unknown { .. }), "{broken}");
    let foreign = Failure::from(&Status::with_details(Code::Internal, "x", vec![255, 1].into()));
    assert!(matches!(foreign, Failure::Unknown { .. }), "{foreign}");
}
