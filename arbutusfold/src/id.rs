//! Type aliases of identifiers that many modules use.

/// Name of an entry host, unique in the fleet.
pub type HostName = String;

/// Name of a region.
pub type RegionName = String;

/// Name of a failure domain inside a region.
pub type DomainName = String;

/// Name of an organisation in the configuration document.
pub type OrganisationName = String;

/// Name of an upstream, a model runner or a plain service instance.
pub type UpstreamName = String;

/// Name of a model.
pub type ModelName = String;

/// Name of an operator in the audit log.
pub type OperatorName = String;

/// Name of a plain service.
pub type ServiceName = String;

/// Name of a route in the operator's document.
pub type RouteName = String;

/// Identifier of a caller's request, unique in the fleet.
pub type RequestId = String;

/// Number of an attempt within its request, from 1.
pub type AttemptNumber = u32;

/// Index of a layer, from 0.
pub type LayerIndex = u32;

/// Index of a generated token within its answer, from 0.
pub type TokenIndex = u32;

/// Number that identifies one run of a process; a restart gets a larger one.
pub type IncarnationNumber = u64;

/// Fencing token: a number that grows with each change of a lease's holder.
pub type FencingNumber = u64;

/// Version of the configuration document, from 1; 0 means that there is none.
pub type DocumentVersion = u64;

/// Number of a request on its node, from 1.
pub type TicketNumber = u64;

/// Returns a new request id: 128 random bits in hexadecimal.
pub fn new_request_id() -> RequestId {
    format!("{:032x}", rand::random::<u128>())
}

/// Returns the incarnation number of a process that starts now.
///
/// It is the wall clock time in microseconds, which grows from start to start
/// without being stored on a disk.
pub fn new_incarnation() -> IncarnationNumber {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(1, |since| since.as_micros() as IncarnationNumber)
}
