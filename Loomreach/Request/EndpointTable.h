// What one entry host knows of each endpoint: whether it takes new requests, how many of its slots this entry host may use, what is in
// flight, and the failures that lead to its ejection and probation.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// Outcome of one attempt at an endpoint.
enum class EAttempt : uint8
{
	Answered, ///< A complete answer arrived.
	NotBegun, ///< The endpoint answered that it did not begin: no slot is free, or it is leaving.
	Refused,  ///< The connection was refused: it cannot have begun.
	Broke,    ///< The connection or the answer broke off: it may have begun.
	TimedOut, ///< No complete answer in time: it may have begun.
	Abandoned ///< The caller disconnected.
};

/// A worker that serves requests.
struct Endpoint
{
	std::string host;
	Address address;
	std::string availability_zone;
	std::string rack;
	bool takes_work = false;        ///< Placed, healthy, and leaving by no indication.
	bool will_leave = false;        ///< A running wave has yet to take its host out: last choice for long requests.
	bool has_short = false;         ///< It carries a service with short requests.
	uint32 slots = 0;               ///< Slots that the worker offers.
	uint32 limit = 0;               ///< Slots that this entry host may use.
	std::set<std::string> services; ///< Job paths placed on it.

	uint32 in_flight = 0; ///< Requests of this entry host.
	uint32 long_in_flight = 0;
	uint32 failures = 0;      ///< Consecutive failures.
	Millis ejected_until = 0; ///< Followed by probation: one request at a time until one is answered.
	Millis full_until = 0;    ///< It answered that no slot is free.
	Millis leaving_until = 0; ///< It answered that it is leaving; remembered until the log or the host list shows it.
	uint32 ejections = 0;     ///< Consecutive ejections, for the back-off.

	/// Whether it is ejected or on probation.
	bool IsSuspect() const { return this->ejections > 0; }
};

/// The endpoints that one entry host knows.
class EndpointTable
{
public:
	/// Applies hosts and placements of the accepted state. Hosts in `inLeaving` take no new requests, whatever the log says.
	void Update(const FleetState &inState, const std::set<std::string> &inLeaving);
	/// The best endpoint for a request of a job, or nullptr. Endpoints in `inTried` and those in the same racks come last.
	Endpoint *Choose(const std::string &inJob, bool inLong, const std::string &inZone, const std::set<std::string> &inTried, Millis inNow);
	/// Whether any endpoint of the job takes requests, now or when a slot becomes free.
	bool HasAny(const std::string &inJob) const;
	/// Number of endpoints that carry a job.
	uint32 CountOf(const std::string &inJob) const;
	/// Records the start of an attempt.
	void Started(Endpoint &ioEndpoint, bool inLong);
	/// Records the end of an attempt. The endpoint may have been removed from the table meanwhile.
	void Ended(const std::string &inHost, bool inLong, EAttempt inResult, Millis inNow);
	/// Records that the endpoint has answered that it is leaving.
	void RecordLeaving(const std::string &inHost, Millis inNow);
	/// The endpoint of a host, or nullptr.
	Endpoint *Find(const std::string &inHost);
	/// All endpoints by host.
	std::map<std::string, Endpoint> &All() { return this->endpoints; }
	const std::map<std::string, Endpoint> &All() const { return this->endpoints; }

private:
	/// Whether a request may start there now.
	bool HasSlot(const Endpoint &inEndpoint, bool inLong, Millis inNow) const;
	/// Ejects the endpoint. Each consecutive ejection lasts twice as long as the one before, up to a maximum.
	void Eject(Endpoint &ioEndpoint, Millis inNow);

	std::map<std::string, Endpoint> endpoints;
	std::map<std::string, std::vector<std::string>> by_job; ///< Hosts that carry each job, by job path.
};

} // namespace Loomreach
