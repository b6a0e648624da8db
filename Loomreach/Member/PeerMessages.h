// Messages between entry hosts: the heartbeat datagram (UDP) and the request and reply frames (TCP). Each has a version, a length limit and
// an authentication code over the whole message, so that a message that is forged, damaged or of another version is never decoded.

#pragma once

#include <Loomreach/Request/ClaimTable.h>
#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Number of requests for a service that wait or are in flight at one entry host.
struct ServiceDemand
{
	uint32 service = 0; ///< 32-bit hash of the job's path.
	uint16 requests = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->service, this->requests);
	}
};

/// Log offset up to which a member of the sender's availability zone has read, as last reported to the sender.
struct ZoneMember
{
	std::string name;
	LogOffset next_offset = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->name, this->next_offset);
	}
};

/// Heartbeat message: identity and log offset of an entry host, and state that changes from second to second.
struct HeartbeatMessage
{
	std::string name;
	uint64 incarnation = 0;
	uint64 sequence = 0; ///< Increases with each datagram of the incarnation; one that is not greater than the last is a replay.
	std::string availability_zone;
	Address peers;
	LogOffset next_offset = 0;
	bool reaches_platform = false;
	bool zone_reaches_platform = false; ///< Some live member of its availability zone reaches the platform.
	bool stopping = false;
	std::vector<std::string> busy_hosts;    ///< Draining hosts to which the sender has requests in flight.
	std::vector<std::string> leaving_hosts; ///< Hosts that report, or are listed by the platform, as leaving.
	std::vector<ServiceDemand> demands;     ///< Sent only to members of the sender's availability zone.
	std::vector<ZoneMember> zone_members;   ///< Sent only to members of other availability zones.

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->name, this->incarnation, this->sequence, this->availability_zone, this->peers, this->next_offset,
				  this->reaches_platform, this->zone_reaches_platform, this->stopping, this->busy_hosts, this->leaving_hosts, this->demands,
				  this->zone_members);
	}
};

/// Requests log records from an offset on.
struct FetchRecords
{
	LogOffset from = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->from);
	}
};

/// Requests the whole replicated state.
struct FetchState
{
	template <class Archive>
	void serialize(Archive &)
	{
	}
};

/// Requests that an id be bound to the sender.
struct ClaimRequest
{
	std::string id;
	uint32 range = 0;
	uint64 owner = 0;
	uint64 view = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->id, this->range, this->owner, this->view);
	}
};

/// Requests a holder's claims of some ranges.
struct HandOverRequest
{
	uint64 view = 0;
	std::vector<uint32> ranges;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->view, this->ranges);
	}
};

using PeerRequest = std::variant<FetchRecords, FetchState, ClaimRequest, HandOverRequest>;

/// A log record relayed by a peer.
struct RelayedRecord
{
	LogOffset offset = 0;
	std::string bytes;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->offset, this->bytes);
	}
};

/// Consecutive records from the requested offset on.
struct RecordsReply
{
	std::vector<RelayedRecord> records;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->records);
	}
};

/// The encoded replicated state.
struct StateReply
{
	std::string state;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->state);
	}
};

/// Reply to a claim.
struct ClaimReply
{
	EClaim answer = EClaim::NotReady;
	uint64 holder = 0;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->answer, this->holder);
	}
};

/// Claims of those requested ranges that the holder could hand over.
struct HandOverReply
{
	std::vector<std::pair<uint32, std::vector<Claim>>> ranges;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->ranges);
	}
};

/// The peer could not serve the request.
struct RefusedReply
{
	std::string why;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->why);
	}
};

using PeerReply = std::variant<RecordsReply, StateReply, ClaimReply, HandOverReply, RefusedReply>;

/// A request with a nonce that its reply repeats.
struct RequestFrame
{
	uint64 nonce = 0;
	PeerRequest request;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->nonce, this->request);
	}
};

/// The reply to the request with the same nonce.
struct ReplyFrame
{
	uint64 nonce = 0;
	PeerReply reply;

	template <class Archive>
	void serialize(Archive &ioArchive)
	{
		ioArchive(this->nonce, this->reply);
	}
};

constexpr size_t cMaxDatagramBytes = 1400;
constexpr size_t cMaxRequestFrameBytes = 64U << 10;
constexpr size_t cMaxReplyFrameBytes = 64U << 20;

/// 32-bit hash of a job's path, as used in `ServiceDemand`.
uint32 ServiceHash(std::string_view inJob);

/// Encodes and authenticates messages, and checks and decodes them, with the key shared by all entry hosts. Opening fails with corrupt,
/// forged, unknown-version or too-large.
class PeerCodec
{
public:
	explicit PeerCodec(std::string inKey) : key(std::move(inKey)) {}

	std::string SealHeartbeat(const HeartbeatMessage &inHeartbeat) const;
	std::optional<HeartbeatMessage> OpenHeartbeat(std::string_view inBytes) const;
	std::string SealRequest(const RequestFrame &inFrame) const;
	std::optional<RequestFrame> OpenRequest(std::string_view inBytes) const;
	std::string SealReply(const ReplyFrame &inFrame) const;
	std::optional<ReplyFrame> OpenReply(std::string_view inBytes) const;
	/// Returns a shortened authentication code of a text in hex, used in issued ids.
	std::string Tag(std::string_view inText) const;

private:
	std::string Authenticate(std::string_view inBytes) const;
	std::string Seal(std::string inEnvelope) const;
	std::optional<std::string_view> CheckAuthentication(std::string_view inBytes) const;

	std::string key;
};

} // namespace Loomreach
