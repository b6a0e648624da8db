// What one entry host knows of each endpoint: whether it takes new work, its share of slots, what is in flight,
// and the evidence by which a failing one is ejected and tried again.

#pragma once

#include <Loomreach/State/FleetState.h>

namespace Loomreach
{

/// How one attempt at an endpoint ended.
enum class EAttempt : uint8
{
	Answered, ///< A whole answer came.
	NotBegun, ///< The endpoint's own word that it did not begin: no slot free, or it is leaving.
	Refused,  ///< The connection was refused: it cannot have begun.
	Broke,    ///< The connection or the answer broke off: it may have begun.
	TimedOut, ///< No whole answer in time: it may have begun.
	Abandoned ///< The caller went away.
};

/// One worker as an endpoint.
struct Endpoint
{
	std::string host;
	Address address;
	std::string availability_zone;
	std::string rack;
	bool takes_work = false; ///< Placed, healthy, not leaving by any sign.
	bool will_leave = false; ///< A running wave has yet to take it out: the last choice for long requests.
	bool has_short = false;  ///< Carries a service whose requests are short.
	uint32 slots = 0;
	uint32 limit = 0;               ///< Slots that this entry host may use.
	std::set<std::string> services; ///< Job paths placed on it.

	uint32 in_flight = 0; ///< Of this entry host.
	uint32 long_in_flight = 0;
	uint32 failures = 0;      ///< In a row.
	Millis ejected_until = 0; ///< On probation afterwards: one request at a time until one is answered.
	Millis full_until = 0;    ///< It said that it has no slot free.
	Millis leaving_until = 0; ///< It said that it is leaving; kept until the log or the list tells the same.
	uint32 ejections = 0;     ///< In a row, for the back-off.

	/// Ejected or on probation.
	bool IsSuspect() const { return this->ejections > 0; }
};

/// The table.
class EndpointTable
{
public:
	/// Takes over hosts and placements from the accepted state. Hosts in `inLeaving` take no new work whatever the log says.
	void Update(const FleetState &inState, const std::set<std::string> &inLeaving);
	/// The best endpoint for a request of a job, or nullptr. `inTried` and the racks of those come last.
	Endpoint *Choose(const std::string &inJob, bool inLong, const std::string &inZone, const std::set<std::string> &inTried, Millis inNow);
	/// Whether any endpoint of the job takes work at all, now or when slots are free.
	bool HasAny(const std::string &inJob) const;
	/// How many endpoints carry a job.
	uint32 CountOf(const std::string &inJob) const;
	/// Notes the start of an attempt.
	void Started(Endpoint &ioEndpoint, bool inLong);
	/// Notes the end of an attempt. The endpoint may meanwhile have left the table.
	void Ended(const std::string &inHost, bool inLong, EAttempt inResult, Millis inNow);
	/// Notes the endpoint's own sign that it is leaving.
	void SawLeaving(const std::string &inHost, Millis inNow);
	/// The endpoint of a host, or nullptr.
	Endpoint *Find(const std::string &inHost);
	/// All endpoints, for shares and reports.
	std::map<std::string, Endpoint> &All() { return this->endpoints; }
	const std::map<std::string, Endpoint> &All() const { return this->endpoints; }

private:
	bool HasSlot(const Endpoint &inEndpoint, bool inLong, Millis inNow) const;
	void Eject(Endpoint &ioEndpoint, Millis inNow);

	std::map<std::string, Endpoint> endpoints;
	std::map<std::string, std::vector<std::string>> by_job; ///< Job path to hosts that carry it.
};

} // namespace Loomreach
