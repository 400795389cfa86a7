//! Type aliases for the identifiers that slices share.

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

/// Name of an operator in the audit trail.
pub type OperatorName = String;

/// Name of a plain service.
pub type ServiceName = String;

/// Identifier of a caller's request, unique over the fleet.
pub type RequestId = String;

/// Ordinal of an attempt inside one request, from 1.
pub type AttemptNumber = u32;

/// Index of a layer, from 0.
pub type LayerIndex = u32;

/// Index of a generated token inside one answer, from 0.
pub type TokenIndex = u32;

/// Number that a process draws at its start, larger than any it had before.
pub type IncarnationNumber = u64;

/// Number that grows with each change of a lease's holder.
pub type FencingNumber = u64;

/// Version of the configuration document, from 1; 0 stands for none.
pub type DocumentVersion = u64;

/// Number of a request inside its node, from 1.
pub type TicketNumber = u64;

/// Returns a fresh request id of 128 random bits in hexadecimal.
pub fn fresh_request() -> RequestId {
    format!("{:032x}", rand::random::<u128>())
}

/// Returns an incarnation for a process that starts now.
///
/// The wall clock in microseconds keeps later starts above earlier ones on
/// a host without a disk.
pub fn fresh_incarnation() -> IncarnationNumber {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(1, |since| since.as_micros() as IncarnationNumber)
}
